/**
 * Bytes that requests in flight may hold in the memory of a VM.
 *
 * Load pattern: callers that send large bodies slowly, on a VM with little
 * memory. Each body is within the limit for one request; together they are not.
 */
export interface ByteBudget {
  /** Opens an account, whose bytes are given back together. */
  open(): ByteAccount;
  heldBytes(): number;
}

export interface ByteAccount {
  /** Returns false, and takes nothing, if the budget has no room. */
  take(bytes: number): boolean;
  /** Gives everything back; the account takes nothing afterwards. */
  close(): void;
}

/** @param limitBytes Read at each call. */
export function createByteBudget(limitBytes: () => number): ByteBudget {
  let heldBytes = 0;

  function open(): ByteAccount {
    let taken = 0;
    let isClosed = false;
    return {
      take: bytes => {
        if (isClosed || heldBytes + bytes > limitBytes()) {
          return false;
        }
        taken += bytes;
        heldBytes += bytes;
        return true;
      },
      close: () => {
        isClosed = true;
        heldBytes -= taken;
        taken = 0;
      },
    };
  }

  return {open, heldBytes: () => heldBytes};
}
