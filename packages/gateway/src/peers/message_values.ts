/** Tells what a message of a peer would take once decoded, without decoding. */

const MAXIMUM_POSITIVE_INTEGER = 0x7f;
const MAXIMUM_SHORT_MAP = 0x8f;
const MAXIMUM_SHORT_ARRAY = 0x9f;
const MAXIMUM_SHORT_TEXT = 0xbf;
const MINIMUM_NEGATIVE_INTEGER = 0xe0;
/** The only extension that gateways write: the value `undefined`. */
const UNDEFINED_EXTENSION_TYPE = 0;

interface Header {
  /** Bytes up to the next header. */
  readonly length: number;
  /** Values that follow as a part of this one. */
  readonly members: number;
}

/**
 * Number of values in MessagePack, with keys; undefined if the message is cut
 * off, states more members than its bytes can hold, goes on after its end, or
 * contains what no gateway writes.
 */
export function countMessageValues(data: Uint8Array): number | undefined {
  const view = new DataView(data.buffer, data.byteOffset, data.byteLength);
  let count = 0;
  let missing = 1;
  let offset = 0;
  while (missing > 0) {
    // Each missing value takes a byte at least.
    if (missing > data.byteLength - offset) {
      return undefined;
    }
    const header = readHeader(view, offset);
    if (!header || header.length > data.byteLength - offset) {
      return undefined;
    }
    count += 1;
    missing += header.members - 1;
    offset += header.length;
  }
  return offset === data.byteLength ? count : undefined;
}

function readHeader(view: DataView, offset: number): Header | undefined {
  const byte = view.getUint8(offset);
  if (byte <= MAXIMUM_POSITIVE_INTEGER || byte >= MINIMUM_NEGATIVE_INTEGER) {
    return scalar(1);
  }
  if (byte <= MAXIMUM_SHORT_MAP) {
    return {length: 1, members: 2 * (byte & 0x0f)};
  }
  if (byte <= MAXIMUM_SHORT_ARRAY) {
    return {length: 1, members: byte & 0x0f};
  }
  if (byte <= MAXIMUM_SHORT_TEXT) {
    return scalar(1 + (byte & 0x1f));
  }
  return readLongHeader(view, offset, byte);
}

function readLongHeader(
  view: DataView,
  offset: number,
  byte: number,
): Header | undefined {
  switch (byte) {
    case 0xc0: // nil
    case 0xc2: // false
    case 0xc3: // true
      return scalar(1);
    case 0xcc: // uint 8
    case 0xd0: // int 8
      return scalar(2);
    case 0xcd: // uint 16
    case 0xd1: // int 16
      return scalar(3);
    case 0xca: // float 32
    case 0xce: // uint 32
    case 0xd2: // int 32
      return scalar(5);
    case 0xcb: // float 64
    case 0xcf: // uint 64
    case 0xd3: // int 64
      return scalar(9);
    case 0xc4: // bin 8
    case 0xd9: // str 8
      return withLength(view, offset, 1, length => scalar(2 + length));
    case 0xc5: // bin 16
    case 0xda: // str 16
      return withLength(view, offset, 2, length => scalar(3 + length));
    case 0xc6: // bin 32
    case 0xdb: // str 32
      return withLength(view, offset, 4, length => scalar(5 + length));
    case 0xdc: // array 16
      return withLength(view, offset, 2, members => ({length: 3, members}));
    case 0xdd: // array 32
      return withLength(view, offset, 4, members => ({length: 5, members}));
    case 0xde: // map 16
      return withLength(view, offset, 2, pairs => ({
        length: 3,
        members: 2 * pairs,
      }));
    case 0xdf: // map 32
      return withLength(view, offset, 4, pairs => ({
        length: 5,
        members: 2 * pairs,
      }));
    case 0xd4: // fixext 1
      return withLength(view, offset, 1, type =>
        type === UNDEFINED_EXTENSION_TYPE ? scalar(3) : undefined,
      );
    default:
      return undefined;
  }
}

function scalar(length: number): Header {
  return {length, members: 0};
}

/** Reads the number that follows the first byte of a header. */
function withLength(
  view: DataView,
  offset: number,
  byteCount: 1 | 2 | 4,
  toHeader: (length: number) => Header | undefined,
): Header | undefined {
  if (offset + 1 + byteCount > view.byteLength) {
    return undefined;
  }
  switch (byteCount) {
    case 1:
      return toHeader(view.getUint8(offset + 1));
    case 2:
      return toHeader(view.getUint16(offset + 1));
    case 4:
      return toHeader(view.getUint32(offset + 1));
  }
}
