/** Cache of recent claim ends, so that a resend needs no store call. */
import type {ClaimEnd} from './types.js';

const MAXIMUM_ENTRIES = 4_096;
const MAXIMUM_ANSWER_CHARACTERS = 8_388_608;

export interface RecentEnd {
  readonly fingerprint: string;
  readonly end: ClaimEnd;
}

export interface RecentEnds {
  get(key: string): RecentEnd | undefined;
  set(key: string, end: RecentEnd): void;
  delete(key: string): void;
}

/** Evicts the oldest entries above the limit of entries or of characters. */
export function createRecentEnds(): RecentEnds {
  const ends = new Map<string, RecentEnd>();
  let characters = 0;

  function remove(key: string): void {
    const end = ends.get(key);
    if (end) {
      characters -= sizeOf(end);
      ends.delete(key);
    }
  }

  return {
    get: key => ends.get(key),
    set: (key, end) => {
      remove(key);
      ends.set(key, end);
      characters += sizeOf(end);
      for (const oldest of ends.keys()) {
        const fits =
          ends.size <= MAXIMUM_ENTRIES &&
          characters <= MAXIMUM_ANSWER_CHARACTERS;
        if (fits) {
          break;
        }
        remove(oldest);
      }
    },
    delete: remove,
  };
}

function sizeOf(recent: RecentEnd): number {
  return recent.end.kind === 'answered'
    ? (recent.end.answer.bodyBase64?.length ?? 0)
    : 0;
}
