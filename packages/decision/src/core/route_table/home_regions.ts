/** Regions that may process a request under several configurations at once. */

/**
 * Returns the regions that both lists allow; an empty list allows all regions.
 *
 * @returns Undefined if the lists have no region in common.
 */
export function commonHomeRegions(
  one: readonly string[],
  other: readonly string[],
): readonly string[] | undefined {
  if (one.length === 0) {
    return other;
  }
  if (other.length === 0) {
    return one;
  }
  const common = one.filter(region => other.includes(region));
  return common.length > 0 ? common : undefined;
}
