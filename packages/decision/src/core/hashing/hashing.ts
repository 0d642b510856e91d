/** Stable hashes based on xxHash; the same on every VM and in every version. */
import createXxhash from 'xxhash-wasm';

const xxhash = await createXxhash();

/** Returns an integer, uniformly distributed over [0, 2^32). */
export function hash32(text: string): number {
  return xxhash.h32(text);
}

/** As `hash32` of the text that the parts make together. */
export interface PartwiseHash {
  /** @param part Text, or text in UTF-8. */
  add(part: string | Uint8Array): void;
  /** Ends the hash, which takes no further part. */
  digest(): number;
}

/** A hash of a text of any length, in memory of the length of its parts. */
export function createPartwiseHash(): PartwiseHash {
  const hash = xxhash.create32();
  return {
    add: part => {
      hash.update(part);
    },
    digest: () => hash.digest(),
  };
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
