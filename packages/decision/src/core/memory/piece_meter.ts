/**
 * Bounds the work of reading a body that comes in pieces. Each piece costs a
 * call and an object, however short it is, so that a sender of very short ones
 * keeps the process from others while its bytes stay below every limit.
 *
 * Load pattern: targets or callers that send bodies in chunks of one byte.
 */
export interface PieceMeter {
  /** Records a piece; returns false once the body has too many for its length. */
  record(bytes: number): boolean;
  /** Number of pieces so far. */
  pieces(): number;
}

/** Any body may have so many pieces, such as a feed of short lines. */
const FREE_PIECES = 2_048;
/** The mean length that further pieces must keep up. */
const MINIMUM_MEAN_BYTES = 8;

export function createPieceMeter(): PieceMeter {
  let pieces = 0;
  let bytesTotal = 0;

  return {
    record: bytes => {
      pieces += 1;
      bytesTotal += bytes;
      return (
        pieces <= FREE_PIECES ||
        bytesTotal >= (pieces - FREE_PIECES) * MINIMUM_MEAN_BYTES
      );
    },
    pieces: () => pieces,
  };
}
