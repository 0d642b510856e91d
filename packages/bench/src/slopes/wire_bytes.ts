/** Size of a message between VMs on the wire, with all headers. */
import {Packr} from 'msgpackr';

/** IPv4 header and TCP header with the timestamps option. */
const PACKET_HEADER_BYTES = 52;
const PACKET_PAYLOAD_BYTES = 1_448;
/**
 * WebSocket frame headers with a masking key: payloads of up to 125 bytes have
 * a 7-bit length, longer ones an extended length field.
 */
const SHORT_FRAME_HEADER_BYTES = 6;
const LONG_FRAME_HEADER_BYTES = 14;
const SHORT_FRAME_PAYLOAD_BYTES = 125;

export interface WireBytes {
  /** Bytes from the sender to the receiver. */
  readonly sent: number;
  /** Bytes of TCP acknowledgements from the receiver to the sender. */
  readonly acknowledgements: number;
}

const packr = new Packr({useRecords: false, encodeUndefinedAsNil: false});

/** Size of one frame with a single message, encoded as on peer links. */
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
