/**
 * Versions of a store that may come back from an older copy of itself. Each
 * return begins a new era, in which revisions below the last one are given out
 * again. A version orders first by era, then by revision, so that what is known
 * from an earlier era is older than anything of a later one.
 */

/** Revisions per era; the product with an era stays a safe integer. */
const ERA_SPAN = 2 ** 32;

/** @param era 0 in a store that has no eras. */
export function createStoreVersion(era: number, revision: number): number {
  return era * ERA_SPAN + revision;
}

/** Era of a version; -1 for the version of an empty mirror. */
export function storeEraOf(version: number): number {
  return Math.floor(version / ERA_SPAN);
}

export function storeRevisionOf(version: number): number {
  return version - storeEraOf(version) * ERA_SPAN;
}
