/** One authenticated WebSocket connection to one peer. */
import type {Incarnation, VmId} from '@ibisbeam/decision';
import type {WebSocket} from 'ws';
import type {TimerHandle, TimerService} from '../../core/timers/index.js';
import {
  type Greeting,
  MAXIMUM_FRAME_BYTES,
  MAXIMUM_MESSAGES_PER_FRAME,
  PROTOCOL_VERSIONS,
  type PeerMessage,
  decodeFrame,
  decodeGreeting,
  encodeFrame,
  encodeGreeting,
  negotiateVersion,
} from './wire.js';
import type {SendQueue} from './send_queue.js';

const GREETING_TIMEOUT_MS = 3_000;
/** Sending pauses while the socket holds more unsent bytes than this. */
const MAXIMUM_BUFFERED_BYTES = 1_048_576;
const SEND_RETRY_DELAY_MS = 20;
const MAXIMUM_EARLY_FRAMES = 8;

/** `silent`: nothing was received for the silence timeout. */
export type LinkEndReason =
  'closed' | 'greeting-late' | 'greeting-refused' | 'malformed' | 'silent';

export interface LinkOptions {
  readonly socket: WebSocket;
  readonly ownIdentity: Omit<
    Greeting,
    'kind' | 'minimumVersion' | 'maximumVersion'
  >;
  readonly timers: TimerService;
  readonly silenceTimeoutMs: number;
  /** Whether the greeting is authentic and comes from the expected peer. */
  readonly acceptGreeting: (greeting: Greeting) => Promise<boolean>;
  readonly onOpen: (link: Link) => void;
  readonly onMessages: (messages: readonly PeerMessage[]) => void;
  readonly onEnd: (end: LinkEndReason) => void;
}

export interface Link {
  readonly peer: VmId;
  readonly incarnation: Incarnation;
  /** Sends the queued messages; pauses while the socket's buffer is full. */
  flush(queue: SendQueue): void;
  close(): void;
}

export function startLink(options: LinkOptions): {close(): void} {
  const {socket, timers} = options;
  let opened = false;
  let ended = false;
  let greetingReceived = false;
  /** Frames that arrived after the greeting while it was being verified. */
  let earlyFrames: Buffer[] = [];
  let lastHeardMs = timers.nowMs();
  let retryTimer: TimerHandle | undefined;
  const greetingTimeout = timers.after(GREETING_TIMEOUT_MS, () => {
    if (!opened) {
      end('greeting-late');
    }
  });
  const checkIntervalMs = options.silenceTimeoutMs / 2;
  let lastCheckMs = timers.nowMs();
  const silenceTimer = timers.every(checkIntervalMs, checkSilence);

  /**
   * A late check means that this process was paused and may not have read what
   * the peer sent, so the silence timeout starts again.
   */
  function checkSilence(): void {
    const nowMs = timers.nowMs();
    if (nowMs - lastCheckMs > checkIntervalMs * 1.5) {
      lastHeardMs = nowMs;
    }
    lastCheckMs = nowMs;
    if (nowMs - lastHeardMs > options.silenceTimeoutMs) {
      end('silent');
    }
  }

  function end(reason: LinkEndReason): void {
    if (ended) {
      return;
    }
    ended = true;
    greetingTimeout.cancel();
    silenceTimer.cancel();
    retryTimer?.cancel();
    socket.terminate();
    options.onEnd(reason);
  }

  async function handleGreeting(data: Uint8Array): Promise<void> {
    const greeting = decodeGreeting(data)
      .chain(found =>
        negotiateVersion(PROTOCOL_VERSIONS, found).map(() => found),
      )
      .toMaybe()
      .extractNullable();
    const accepted = greeting && (await options.acceptGreeting(greeting));
    if (ended) {
      return;
    }
    if (!greeting || !accepted) {
      end('greeting-refused');
      return;
    }
    opened = true;
    greetingTimeout.cancel();
    options.onOpen(createLink(greeting));
    for (const data of earlyFrames) {
      handleFrame(data);
    }
    earlyFrames = [];
  }

  function createLink(greeting: Greeting): Link {
    return {
      peer: greeting.vm,
      incarnation: greeting.incarnation,
      flush,
      close: () => end('closed'),
    };
  }

  function flush(queue: SendQueue): void {
    while (!ended && queue.size() > 0) {
      if (socket.bufferedAmount > MAXIMUM_BUFFERED_BYTES) {
        retryTimer?.cancel();
        retryTimer = timers.after(SEND_RETRY_DELAY_MS, () => flush(queue));
        return;
      }
      const messages = queue.take(
        MAXIMUM_MESSAGES_PER_FRAME,
        MAXIMUM_FRAME_BYTES / 2,
      );
      socket.send(encodeFrame(messages));
    }
  }

  function bufferEarlyFrame(data: Buffer): void {
    if (earlyFrames.length >= MAXIMUM_EARLY_FRAMES) {
      end('malformed');
      return;
    }
    earlyFrames.push(data);
  }

  function handleFrame(data: Uint8Array): void {
    decodeFrame(data).caseOf({
      Left: () => end('malformed'),
      Right: options.onMessages,
    });
  }

  socket.on('message', (data: Buffer) => {
    lastHeardMs = timers.nowMs();
    if (opened) {
      handleFrame(data);
      return;
    }
    if (greetingReceived) {
      bufferEarlyFrame(data);
      return;
    }
    greetingReceived = true;
    void handleGreeting(data);
  });
  socket.on('close', () => end('closed'));
  socket.on('error', () => end('closed'));
  socket.send(
    encodeGreeting({
      kind: 'greeting',
      minimumVersion: PROTOCOL_VERSIONS.minimum,
      maximumVersion: PROTOCOL_VERSIONS.maximum,
      ...options.ownIdentity,
    }),
  );

  return {close: () => end('closed')};
}
