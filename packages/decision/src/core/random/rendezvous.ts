/** Rendezvous (highest random weight) hashing over names. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** FNV-1a with a final mix; equal on every VM, unlike a seeded hash. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * All names, best first. The order of the names that remain is the same when
 * others come or go, so a role moves only when its holder leaves.
 */
export function rendezvousOrder<Name extends string>(
  key: string,
  names: Iterable<Name>,
): readonly Name[] {
  const weighted: [number, Name][] = [];
  for (const name of names) {
    weighted.push([hashText(`${key} ${name}`), name]);
  }
  weighted.sort(
    ([one, oneName], [other, otherName]) =>
      other - one || (oneName < otherName ? -1 : 1),
  );
  return weighted.map(([, name]) => name);
}
