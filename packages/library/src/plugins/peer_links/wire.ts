/** Wire format of a peer link: a greeting each way, then message batches. */
import {incarnationSchema, vmIdSchema} from '@ibisbeam/decision';
import {Packr} from 'msgpackr';
import {type Either, Left, Right} from 'purify-ts';
import * as z from 'zod';
import type {PeerChannel} from '../../core/messages/index.js';

/**
 * Supported protocol versions. A link uses the highest version that both ends
 * support and is closed if there is none.
 */
export const PROTOCOL_VERSIONS = {minimum: 1, maximum: 1} as const;

/** Fits a configuration chunk of 1 MB with its envelope. */
export const MAXIMUM_FRAME_BYTES = 1_310_720;
export const MAXIMUM_GREETING_BYTES = 8_192;
export const MAXIMUM_MESSAGES_PER_FRAME = 256;

/** Not strict: a newer version may send additional fields. */
const greetingSchema = z.object({
  kind: z.literal('greeting'),
  vm: vmIdSchema,
  incarnation: incarnationSchema,
  minimumVersion: z.int().positive(),
  maximumVersion: z.int().positive(),
  /** Only from the dialled VM; the dialling VM sends its token in a header. */
  token: z.string().max(4_096).optional(),
});
export type Greeting = z.infer<typeof greetingSchema>;

const channelSchema = z.enum([
  'membership',
  'configuration',
  'steering',
  'claims',
] satisfies PeerChannel[]);

const frameSchema = z
  .array(z.tuple([channelSchema, z.unknown()]))
  .max(MAXIMUM_MESSAGES_PER_FRAME);

export interface PeerMessage {
  readonly channel: PeerChannel;
  readonly body: unknown;
}

export interface WireError {
  readonly kind: 'undecodable' | 'unexpected-shape' | 'no-common-version';
  readonly cause?: unknown;
}

/** Plain maps instead of records, so that versions may differ in fields. */
const packr = new Packr({useRecords: false, encodeUndefinedAsNil: false});

export function encodeGreeting(greeting: Greeting): Uint8Array {
  return packr.pack(greeting);
}

export function encodeMessageBody(body: unknown): Uint8Array {
  return packr.pack(body);
}

export function encodeFrame(messages: readonly PeerMessage[]): Uint8Array {
  return packr.pack(messages.map(message => [message.channel, message.body]));
}

export function decodeGreeting(data: Uint8Array): Either<WireError, Greeting> {
  if (data.byteLength > MAXIMUM_GREETING_BYTES) {
    return Left({
      kind: 'unexpected-shape',
      cause: `greeting of ${data.byteLength} bytes exceeds ${MAXIMUM_GREETING_BYTES} bytes`,
    });
  }
  return unpack(data).chain(value => {
    const greeting = greetingSchema.safeParse(value);
    return greeting.success
      ? Right(greeting.data)
      : Left({kind: 'unexpected-shape', cause: greeting.error});
  });
}

export function decodeFrame(
  data: Uint8Array,
): Either<WireError, readonly PeerMessage[]> {
  return unpack(data).chain(value => {
    const frame = frameSchema.safeParse(value);
    if (!frame.success) {
      return Left({kind: 'unexpected-shape', cause: frame.error});
    }
    return Right(frame.data.map(([channel, body]) => ({channel, body})));
  });
}

/** The highest version that both ends support. */
export function negotiateVersion(
  ours: {readonly minimum: number; readonly maximum: number},
  greeting: Greeting,
): Either<WireError, number> {
  const version = Math.min(ours.maximum, greeting.maximumVersion);
  const lowestCommon = Math.max(ours.minimum, greeting.minimumVersion);
  return version < lowestCommon
    ? Left({kind: 'no-common-version'})
    : Right(version);
}

function unpack(data: Uint8Array): Either<WireError, unknown> {
  try {
    return Right(packr.unpack(data) as unknown);
  } catch (error) {
    return Left({kind: 'undecodable', cause: error});
  }
}
