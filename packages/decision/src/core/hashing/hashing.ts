/** Stable hashes based on xxHash; the same on every VM and in every version. */
import createXxhash from 'xxhash-wasm';

const xxhash = await createXxhash();

/** Returns an integer, uniformly distributed over [0, 2^32). */
export function hash32(text: string): number {
  return xxhash.h32(text);
}

/**
 * Orders candidates by rendezvous hashing, highest score first. If a candidate
 * is removed, only the keys that it ranked first for are reassigned.
 */
export function rankByRendezvous<Candidate extends string>(
  key: string,
  candidates: Iterable<Candidate>,
): readonly Candidate[] {
  const scored: {readonly candidate: Candidate; readonly score: number}[] = [];
  for (const candidate of candidates) {
    scored.push({candidate, score: hash32(`${key}\n${candidate}`)});
  }
  scored.sort((one, other) => {
    if (one.score !== other.score) {
      return other.score - one.score;
    }
    return one.candidate < other.candidate ? -1 : 1;
  });
  return scored.map(entry => entry.candidate);
}
