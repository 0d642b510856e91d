/**
 * Bytes that a VM holds in its memory for callers: bodies of requests, answers
 * that wait for their turn and answers to callers that read slowly.
 *
 * Load pattern: callers that send large bodies slowly, send many requests ahead
 * of a slow one, or read slowly, on a VM with little memory. Each of them is
 * within the limit for one request; together they are not.
 */
export interface ByteBudget {
  /** Opens an account, whose bytes are given back together. */
  open(): ByteAccount;
  level(): MemoryLevel;
  /** All bytes that are held. */
  heldBytes(): number;
  /** Those among them that were taken. */
  takenBytes(): number;
}

/**
 * - `room`: answers may be held whole, and requests may be begun ahead of their
 *   turn.
 * - `near`: what can wait waits.
 * - `full`: nothing more is taken.
 */
export type MemoryLevel = 'room' | 'near' | 'full';

export interface ByteAccount {
  /** Returns false, and takes nothing, if the budget has no room. */
  take(bytes: number): boolean;
  /** Counts bytes that are held already, whether there is room or not. */
  add(bytes: number): void;
  /** Gives back bytes that were added. */
  give(bytes: number): void;
  /**
   * Sets bytes aside that the account is expected to hold; what it holds is
   * counted against them. Returns false if they would bring the level to `near`.
   */
  reserve(bytes: number): boolean;
  /** Gives everything back; the account counts nothing afterwards. */
  close(): void;
}

/** Part of the limit at which what can wait waits. */
const NEAR_FRACTION = 0.75;

/** @param limitBytes Read at each call. */
export function createByteBudget(limitBytes: () => number): ByteBudget {
  let takenBytes = 0;
  let addedBytes = 0;
  /** What accounts hold, or are expected to hold if that is more. */
  let plannedBytes = 0;

  function heldBytes(): number {
    return takenBytes + addedBytes;
  }

  function open(): ByteAccount {
    let taken = 0;
    let added = 0;
    let reserved = 0;
    let isClosed = false;

    function change(nextTaken: number, nextAdded: number, next: number): void {
      const before = Math.max(taken + added, reserved);
      takenBytes += nextTaken - taken;
      addedBytes += nextAdded - added;
      taken = nextTaken;
      added = nextAdded;
      reserved = next;
      plannedBytes += Math.max(taken + added, reserved) - before;
    }

    return {
      take: bytes => {
        if (isClosed || heldBytes() + bytes > limitBytes()) {
          return false;
        }
        change(taken + bytes, added, reserved);
        return true;
      },
      add: bytes => {
        if (!isClosed) {
          change(taken, added + bytes, reserved);
        }
      },
      give: bytes => change(taken, Math.max(0, added - bytes), reserved),
      reserve: bytes => {
        if (isClosed || plannedBytes + bytes > limitBytes() * NEAR_FRACTION) {
          return false;
        }
        change(taken, added, reserved + bytes);
        return true;
      },
      close: () => {
        isClosed = true;
        change(0, 0, 0);
      },
    };
  }

  return {
    open,
    level: () => {
      if (heldBytes() >= limitBytes()) {
        return 'full';
      }
      return heldBytes() >= limitBytes() * NEAR_FRACTION ? 'near' : 'room';
    },
    heldBytes,
    takenBytes: () => takenBytes,
  };
}
