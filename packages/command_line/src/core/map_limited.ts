/**
 * Applies an operation to every item with at most `concurrency` in flight.
 * Results have the order of the items.
 */
export async function mapLimited<Item, Result>(
  items: readonly Item[],
  concurrency: number,
  operation: (item: Item) => Promise<Result>,
): Promise<readonly Result[]> {
  const results: Result[] = [];
  let next = 0;

  async function runWorker(): Promise<void> {
    while (next < items.length) {
      const index = next;
      next += 1;
      results[index] = await operation(items[index]!);
    }
  }

  const workers: Promise<void>[] = [];
  for (let count = 0; count < Math.min(concurrency, items.length); count += 1) {
    workers.push(runWorker());
  }
  await Promise.all(workers);
  return results;
}
