/** A bounded queue that hands one item at a time to its consumer. */
export interface Mailbox<Item> {
  /** False when the mailbox is full and the item was dropped. */
  offer(item: Item): boolean;
  clear(): void;
  readonly size: () => number;
}

/**
 * The newest item is dropped when the mailbox is full, so that what was
 * accepted earlier keeps its order. An item is consumed in the turn in which
 * it is offered if nothing is ahead of it.
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
