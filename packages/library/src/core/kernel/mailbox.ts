/** A bounded queue whose consumer handles one item at a time. */
export interface Mailbox<Item> {
  /** Returns false if the mailbox is full and the item was dropped. */
  offer(item: Item): boolean;
  clear(): void;
  readonly size: () => number;
}

/**
 * When the mailbox is full, the newest item is dropped, so that accepted items
 * keep their order. If the mailbox is empty and idle, an item is consumed
 * synchronously within `offer`.
 */
export function createMailbox<Item>(
  capacity: number,
  consume: (item: Item) => void | Promise<void>,
  onFailure: (error: unknown) => void,
): Mailbox<Item> {
  let queue: Item[] = [];
  let busy = false;

  function drain(): void {
    while (!busy) {
      const item = queue.shift();
      if (item === undefined) {
        return;
      }
      consumeOne(item);
    }
  }

  function consumeOne(item: Item): void {
    busy = true;
    let pending: void | Promise<void>;
    try {
      pending = consume(item);
    } catch (error) {
      busy = false;
      onFailure(error);
      return;
    }
    if (!pending) {
      busy = false;
      return;
    }
    pending.catch(onFailure).finally(() => {
      busy = false;
      drain();
    });
  }

  return {
    offer: item => {
      if (queue.length >= capacity) {
        return false;
      }
      queue.push(item);
      drain();
      return true;
    },
    clear: () => {
      queue = [];
    },
    size: () => queue.length,
  };
}
