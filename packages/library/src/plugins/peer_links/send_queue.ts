/** Bounded queue of messages to one peer. */
import type {PeerMessage} from './wire.js';

export const MAXIMUM_QUEUED_MESSAGES = 256;
export const MAXIMUM_QUEUED_BYTES = 4_194_304;

interface QueuedMessage {
  readonly message: PeerMessage;
  readonly bytes: number;
  readonly replaceable: boolean;
}

export interface SendQueue {
  /**
   * @param bytes Encoded size of the message body.
   * @returns The number of dropped messages; may include the new one.
   */
  add(message: PeerMessage, bytes: number): number;
  /** Removes messages in order, up to the limits but at least one if any. */
  take(maximumMessages: number, maximumBytes: number): readonly PeerMessage[];
  readonly size: () => number;
}

/** Kinds of which a later message supersedes an earlier one. */
const REPLACEABLE_KINDS = new Set(['beat', 'announcement', 'pool-load']);

/**
 * When the queue is full, drops the oldest replaceable messages first; if that
 * does not make enough room, drops the new message. Requests on the other
 * channels are repeated by their tasks after a timeout.
 */
export function createSendQueue(): SendQueue {
  let queue: QueuedMessage[] = [];
  let queuedBytes = 0;

  function wouldOverflow(bytes: number): boolean {
    return (
      queue.length >= MAXIMUM_QUEUED_MESSAGES ||
      queuedBytes + bytes > MAXIMUM_QUEUED_BYTES
    );
  }

  function dropOldestReplaceable(): boolean {
    const index = queue.findIndex(item => item.replaceable);
    if (index < 0) {
      return false;
    }
    queuedBytes -= queue[index]!.bytes;
    queue.splice(index, 1);
    return true;
  }

  function add(message: PeerMessage, bytes: number): number {
    let dropped = 0;
    while (wouldOverflow(bytes)) {
      dropped += 1;
      if (!dropOldestReplaceable()) {
        return dropped;
      }
    }
    queue.push({message, bytes, replaceable: isReplaceable(message)});
    queuedBytes += bytes;
    return dropped;
  }

  function take(
    maximumMessages: number,
    maximumBytes: number,
  ): readonly PeerMessage[] {
    const taken: PeerMessage[] = [];
    let bytes = 0;
    for (const item of queue) {
      const fits = bytes + item.bytes <= maximumBytes;
      if (taken.length >= maximumMessages || (taken.length > 0 && !fits)) {
        break;
      }
      taken.push(item.message);
      bytes += item.bytes;
    }
    queue = queue.slice(taken.length);
    queuedBytes -= bytes;
    return taken;
  }

  return {add, take, size: () => queue.length};
}

function isReplaceable(message: PeerMessage): boolean {
  const {body} = message;
  if (typeof body !== 'object' || body === null || !('kind' in body)) {
    return false;
  }
  return REPLACEABLE_KINDS.has(String(body.kind));
}
