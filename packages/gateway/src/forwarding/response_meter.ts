/** Counts the bytes of one response and holds them against the bounds. */
import type {AnswerBounds} from '../core/settings.js';

/** Why a response was broken off. */
export type EndlessCause =
  /** The head and the interim responses before it exceed their bound. */
  | 'head-too-long'
  /** A body without a length, its chunk extensions or trailers do. */
  | 'body-too-long'
  /** More bytes followed a complete response. */
  | 'bytes-after-end'
  /** It has begun long ago and has not ended when its time is up. */
  | 'no-end-in-time';

export interface ResponseMeter {
  /**
   * Counts received bytes that have not been parsed yet.
   *
   * @returns The bound that they break.
   */
  record(byteCount: number, nowMs: number): EndlessCause | undefined;
  /** The final head has been parsed. */
  recordHead(statesLength: boolean): void;
  /** Bytes received so far. */
  bytes(): number;
  /** Whether the response has been arriving for so long that it trickles. */
  isTrickling(nowMs: number): boolean;
}

export function createResponseMeter(bounds: AnswerBounds): ResponseMeter {
  let part: 'head' | 'open-body' | 'framed-body' = 'head';
  let bytes = 0;
  /** Bytes received when the part began. */
  let partStartBytes = 0;
  let firstByteAtMs: number | undefined;

  return {
    record: (byteCount, nowMs) => {
      firstByteAtMs ??= nowMs;
      const partBytes = bytes - partStartBytes;
      bytes += byteCount;
      switch (part) {
        case 'head':
          // The newest bytes may already contain a part of the body.
          return partBytes > bounds.headBytes ? 'head-too-long' : undefined;
        case 'open-body':
          return partBytes + byteCount > bounds.openBodyBytes
            ? 'body-too-long'
            : undefined;
        case 'framed-body':
          return undefined;
      }
    },
    recordHead: statesLength => {
      part = statesLength ? 'framed-body' : 'open-body';
      partStartBytes = bytes;
    },
    bytes: () => bytes,
    isTrickling: nowMs =>
      firstByteAtMs !== undefined && nowMs - firstByteAtMs > bounds.trickleMs,
  };
}
