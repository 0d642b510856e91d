/** Bytes that a message between VMs takes on the wire, headers counted. */
import {Packr} from 'msgpackr';

/** IPv4 and TCP with time stamps. */
const PACKET_HEADER_BYTES = 52;
const PACKET_PAYLOAD_BYTES = 1_448;
/** A frame of up to 125 bytes, its mask, and longer length fields. */
const SHORT_FRAME_HEADER_BYTES = 6;
const LONG_FRAME_HEADER_BYTES = 14;
const SHORT_FRAME_PAYLOAD_BYTES = 125;

export interface WireBytes {
  /** From the sender to the receiver. */
  readonly sent: number;
  /** Acknowledgements, from the receiver to the sender. */
  readonly acknowledgements: number;
}

const packr = new Packr({useRecords: false, encodeUndefinedAsNil: false});

/** One frame with one message, as the peer links encode it. */
export function frameBytes(channel: string, body: unknown): WireBytes {
  const payload = packr.pack([[channel, body]]).byteLength;
  const header =
    payload <= SHORT_FRAME_PAYLOAD_BYTES
      ? SHORT_FRAME_HEADER_BYTES
      : LONG_FRAME_HEADER_BYTES;
  const packets = Math.ceil((payload + header) / PACKET_PAYLOAD_BYTES);
  return {
    sent: payload + header + packets * PACKET_HEADER_BYTES,
    acknowledgements: packets * PACKET_HEADER_BYTES,
  };
}
