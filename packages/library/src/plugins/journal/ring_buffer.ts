/** Holds the newest items, up to its capacity. */
export interface RingBuffer<Item> {
  add(item: Item): void;
  /** Oldest first. */
  items(): readonly Item[];
}

export function createRingBuffer<Item>(capacity: number): RingBuffer<Item> {
  const kept: Item[] = [];
  let next = 0;
  return {
    add: item => {
      kept[next] = item;
      next = (next + 1) % capacity;
    },
    items: () => [...kept.slice(next), ...kept.slice(0, next)],
  };
}
