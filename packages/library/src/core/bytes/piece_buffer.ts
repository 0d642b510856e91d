/**
 * Collects bytes that come in pieces, in memory of a known size. Kept one by
 * one, pieces of a byte each take several hundred times their length.
 */
export interface PieceBuffer {
  /** Adds a copy of a short piece, or the piece itself, which must not change. */
  append(piece: Buffer): void;
  /** Length of what has been collected. */
  byteCount(): number;
  /** Memory that it takes, in bytes. */
  memoryBytes(): number;
  /** Returns what has been collected, in order, and starts anew. */
  take(): Buffer[];
}

/** Heap that a Buffer takes besides its bytes. */
export const BUFFER_OVERHEAD_BYTES = 512;
/** So few pieces are kept as they are, whatever their length. */
const UNCOPIED_PIECES = 8;
/** Longer pieces are not worth a copy. */
const MAXIMUM_COPIED_BYTES = 4_096;
const EMPTY = Buffer.alloc(0);
const FIRST_BLOCK_BYTES = 4_096;
const MAXIMUM_BLOCK_BYTES = 65_536;

export function createPieceBuffer(): PieceBuffer {
  let buffers: Buffer[] = [];
  let block = EMPTY;
  /** Up to here, the block is in `buffers`; up to `blockUsed`, it is filled. */
  let blockListed = 0;
  let blockUsed = 0;
  let nextBlockBytes = FIRST_BLOCK_BYTES;
  let byteCount = 0;
  let memoryBytes = 0;

  function listCopied(): void {
    if (blockUsed > blockListed) {
      buffers.push(block.subarray(blockListed, blockUsed));
      blockListed = blockUsed;
      memoryBytes += BUFFER_OVERHEAD_BYTES;
    }
  }

  function openBlock(): void {
    block = Buffer.allocUnsafeSlow(nextBlockBytes);
    blockListed = 0;
    blockUsed = 0;
    memoryBytes += nextBlockBytes;
    nextBlockBytes = Math.min(nextBlockBytes * 2, MAXIMUM_BLOCK_BYTES);
  }

  function copy(piece: Buffer): void {
    let copied = 0;
    while (copied < piece.length) {
      if (blockUsed === block.length) {
        listCopied();
        openBlock();
      }
      const count = piece.copy(block, blockUsed, copied);
      copied += count;
      blockUsed += count;
    }
  }

  return {
    append: piece => {
      byteCount += piece.length;
      const isShort = piece.length <= MAXIMUM_COPIED_BYTES;
      if (isShort && buffers.length >= UNCOPIED_PIECES) {
        copy(piece);
        return;
      }
      listCopied();
      buffers.push(piece);
      memoryBytes += piece.length + BUFFER_OVERHEAD_BYTES;
    },
    byteCount: () => byteCount,
    memoryBytes: () => memoryBytes,
    take: () => {
      listCopied();
      const taken = buffers;
      buffers = [];
      block = EMPTY;
      blockListed = 0;
      blockUsed = 0;
      nextBlockBytes = FIRST_BLOCK_BYTES;
      byteCount = 0;
      memoryBytes = 0;
      return taken;
    },
  };
}
