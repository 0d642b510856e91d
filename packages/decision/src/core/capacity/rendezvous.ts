/** Rendezvous hashing, equal on every VM. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const UINT32_RANGE = 2 ** 32;

/** Hash of a text in [0, 1), by FNV-1a with a final mix. */
export function hashToUnit(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash ^= text.charCodeAt(index);
    hash = Math.imul(hash, FNV_PRIME);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  hash ^= hash >>> 16;
  return (hash >>> 0) / UINT32_RANGE;
}

/** Names in the order of their hash with the key, highest first. */
export function rendezvousOrder<Name extends string>(
  names: readonly Name[],
  key: string,
): readonly Name[] {
  const scored = names.map(name => ({
    name,
    score: hashToUnit(`${key}|${name}`),
  }));
  scored.sort(
    (one, other) => other.score - one.score || (one.name < other.name ? -1 : 1),
  );
  return scored.map(entry => entry.name);
}
