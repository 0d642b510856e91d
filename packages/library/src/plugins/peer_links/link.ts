/** One authenticated WebSocket to one peer. */
import type {Incarnation, VmId} from '@ibisbeam/decision';
import type {WebSocket} from 'ws';
import type {TimerHandle, TimerService} from '../../core/timers/index.js';
import {
  type Greeting,
  MAXIMUM_FRAME_BYTES,
  MAXIMUM_MESSAGES_PER_FRAME,
  PROTOCOL_VERSIONS,
  type PeerMessage,
  negotiateVersion,
  decodeFrame,
  decodeGreeting,
  encodeFrame,
  encodeGreeting,
} from './wire.js';
import type {SendQueue} from './send_queue.js';

const GREETING_TIMEOUT_MS = 3_000;
/** Nothing more is handed to a socket that holds this many unsent bytes. */
const MAXIMUM_BUFFERED_BYTES = 1_048_576;
const RETRY_SEND_MS = 20;
const MAXIMUM_EARLY_FRAMES = 8;

export type LinkEndReason =
  'closed' | 'greeting-late' | 'greeting-refused' | 'malformed' | 'silent';

export interface LinkOptions {
  readonly socket: WebSocket;
  readonly ours: Omit<Greeting, 'kind' | 'minimumVersion' | 'maximumVersion'>;
  readonly timers: TimerService;
  readonly silentAfterMs: number;
  /** Whether the greeting comes from the peer that was expected. */
  readonly acceptGreeting: (greeting: Greeting) => Promise<boolean>;
  readonly onOpen: (link: Link) => void;
  readonly onMessages: (messages: readonly PeerMessage[]) => void;
  readonly onEnd: (end: LinkEndReason) => void;
}

export interface Link {
  readonly peer: VmId;
  readonly incarnation: Incarnation;
  /** Sends what the queue holds, as far as the socket takes it. */
  flush(queue: SendQueue): void;
  close(): void;
}

export function startLink(options: LinkOptions): {close(): void} {
  const {socket, timers} = options;
  let opened = false;
  let ended = false;
  let greeted = false;
  /** Frames that came behind the greeting while it was being checked. */
  let early: Buffer[] = [];
  let lastHeardMs = timers.nowMs();
  let retry: TimerHandle | undefined;
  const greetingTimeout = timers.after(GREETING_TIMEOUT_MS, () => {
    if (!opened) {
      end('greeting-late');
    }
  });
  const checkIntervalMs = options.silentAfterMs / 2;
  let lastCheckMs = timers.nowMs();
  const silence = timers.every(checkIntervalMs, checkSilence);

  /** A late check means that this process was paused: the peer gets a term. */
  function checkSilence(): void {
    const nowMs = timers.nowMs();
    if (nowMs - lastCheckMs > checkIntervalMs * 1.5) {
      lastHeardMs = nowMs;
    }
    lastCheckMs = nowMs;
    if (nowMs - lastHeardMs > options.silentAfterMs) {
      end('silent');
    }
  }

  function end(reason: LinkEndReason): void {
    if (ended) {
      return;
    }
    ended = true;
    greetingTimeout.cancel();
    silence.cancel();
    retry?.cancel();
    socket.terminate();
    options.onEnd(reason);
  }

  async function takeGreeting(data: Uint8Array): Promise<void> {
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
    options.onOpen(linkTo(greeting));
    for (const data of early) {
      takeFrame(data);
    }
    early = [];
  }

  function linkTo(greeting: Greeting): Link {
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
        retry?.cancel();
        retry = timers.after(RETRY_SEND_MS, () => flush(queue));
        return;
      }
      const messages = queue.take(
        MAXIMUM_MESSAGES_PER_FRAME,
        MAXIMUM_FRAME_BYTES / 2,
      );
      socket.send(encodeFrame(messages));
    }
  }

  function keepEarly(data: Buffer): void {
    if (early.length >= MAXIMUM_EARLY_FRAMES) {
      end('malformed');
      return;
    }
    early.push(data);
  }

  function takeFrame(data: Uint8Array): void {
    decodeFrame(data).caseOf({
      Left: () => end('malformed'),
      Right: options.onMessages,
    });
  }

  socket.on('message', (data: Buffer) => {
    lastHeardMs = timers.nowMs();
    if (opened) {
      takeFrame(data);
      return;
    }
    if (greeted) {
      keepEarly(data);
      return;
    }
    greeted = true;
    void takeGreeting(data);
  });
  socket.on('close', () => end('closed'));
  socket.on('error', () => end('closed'));
  socket.send(
    encodeGreeting({
      kind: 'greeting',
      minimumVersion: PROTOCOL_VERSIONS.minimum,
      maximumVersion: PROTOCOL_VERSIONS.maximum,
      ...options.ours,
    }),
  );

  return {close: () => end('closed')};
}
