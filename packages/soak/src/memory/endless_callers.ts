/**
 * Callers that send bytes without end, and sound ones beside them, which record
 * how each request ended.
 */
import {type Socket, connect} from 'node:net';
import type {TimerService} from '@ibisbeam/library';
import {
  type EndlessRequest,
  buildEndlessRequest,
  writeEndless,
} from '@ibisbeam/stand-ins';

export type CallerKind =
  /** Sends look-ups, each after the answer of the one before. */
  | 'sound'
  /** Sends three look-ups at once, again after the last answer. */
  | 'three-ahead'
  /** Sends look-ups of a service whose targets are all sound. */
  | 'steady'
  /** Uploads 1 MiB in chunks of one byte, and then ends the body. */
  | 'mebibyte-in-one-byte-chunks'
  | EndlessRequest;

/**
 * `cut`: ended within its answer; `behind`: the connection ended with an answer
 * before its own.
 */
export type CallOutcome = 'answered' | 'cut' | 'behind' | 'unanswered';

export interface EndlessCall {
  readonly kind: CallerKind;
  readonly outcome: CallOutcome;
  /** Of the answer; 0 if none has begun. */
  readonly status: number;
  readonly tookMs: number;
  /** Whether the VM closed the connection, or said that it would. */
  readonly isClosed: boolean;
}

export interface EndlessCaller {
  /** Sends nothing new; resolves when its requests have ended. */
  stop(): Promise<void>;
  /** Closes its connection at once and sends nothing new. */
  leave(): void;
}

export interface EndlessCallerOptions {
  readonly kind: CallerKind;
  readonly id: string;
  readonly address: {readonly host: string; readonly port: number};
  readonly hostName: string;
  readonly timers: TimerService;
  onCall(call: EndlessCall): void;
}

interface Answer {
  readonly status: number;
  /** Infinity if the head states no length. */
  bytesLeft: number;
  readonly closes: boolean;
}

const PATIENCE_MS = 4_000;
const PAUSE_MS = 50;
const AHEAD = 3;
const PAYLOAD_BYTES = 1_048_576;
const BYTES_PER_ONE_BYTE_CHUNK = 6;
const HEAD_END = '\r\n\r\n';
const LAST_CHUNK = '0\r\n\r\n';

export function startEndlessCaller(
  options: EndlessCallerOptions,
): EndlessCaller {
  const {kind, id, address, hostName, timers, onCall} = options;
  let isStopping = false;
  let sent = 0;
  let leaveConnection = (): void => {};
  const stopped = run();

  async function run(): Promise<void> {
    while (!isStopping) {
      await useConnection();
      await timers.sleep(PAUSE_MS);
    }
  }

  function formatHeaders(): string {
    sent += 1;
    return [
      `Host: ${hostName}`,
      `X-Ibisbeam-Attempt-Id: ${id}-${sent}`,
      `X-Ibisbeam-Deadline-Ms: ${PATIENCE_MS}`,
      '',
    ].join('\r\n');
  }

  /** Resolves when the connection is closed. */
  function useConnection(): Promise<void> {
    return new Promise(resolve => {
      const socket: Socket = connect(address.port, address.host);
      let waiting = 0;
      let sentMs = timers.nowMs();
      let text = '';
      let answer: Answer | undefined;
      let hasClosingAnswer = false;
      let hasEnded = false;
      let patience = timers.after(PATIENCE_MS, () => end(false));
      socket.setNoDelay(true);
      socket.on('error', () => {});
      socket.on('close', () => end(true));
      socket.on('data', read);
      leaveConnection = () => end(false);
      send();

      function send(): void {
        patience.cancel();
        patience = timers.after(PATIENCE_MS, () => end(false));
        sentMs = timers.nowMs();
        switch (kind) {
          case 'sound':
          case 'steady':
          case 'three-ahead':
            waiting = kind === 'three-ahead' ? AHEAD : 1;
            for (let index = 0; index < waiting; index += 1) {
              const path = kind === 'steady' ? '/steady/1' : '/rooms/1';
              socket.write(`GET ${path} HTTP/1.1\r\n${formatHeaders()}\r\n`);
            }
            return;
          case 'mebibyte-in-one-byte-chunks':
            waiting = 1;
            writeEndless(
              socket,
              buildEndlessRequest('upload-in-one-byte-chunks', formatHeaders()),
              timers,
              {
                bytes: PAYLOAD_BYTES * BYTES_PER_ONE_BYTE_CHUNK,
                ending: Buffer.from(LAST_CHUNK),
              },
            );
            return;
          case 'requests-ahead':
            // Reads no answers.
            socket.pause();
            waiting = 1;
            writeEndless(
              socket,
              buildEndlessRequest(kind, formatHeaders()),
              timers,
            );
            return;
          default:
            waiting = 1;
            writeEndless(
              socket,
              buildEndlessRequest(kind, formatHeaders()),
              timers,
            );
        }
      }

      function read(data: Buffer): void {
        let rest = data;
        while (rest.length > 0 && !hasEnded) {
          if (!answer) {
            text += rest.toString('latin1');
            const headEnd = text.indexOf(HEAD_END);
            if (headEnd < 0) {
              return;
            }
            answer = parseHead(text.slice(0, headEnd));
            rest = Buffer.from(text.slice(headEnd + HEAD_END.length), 'latin1');
            text = '';
          }
          const taken = Math.min(answer.bytesLeft, rest.length);
          answer.bytesLeft -= taken;
          rest = rest.subarray(taken);
          if (answer.bytesLeft === 0) {
            finishAnswer(answer);
          }
        }
      }

      function finishAnswer({status, closes}: Answer): void {
        answer = undefined;
        waiting -= 1;
        record('answered', status, closes);
        if (closes || isUpload(kind)) {
          hasClosingAnswer = true;
          end(closes);
        } else if (waiting === 0 && isStopping) {
          end(false);
        } else if (waiting === 0) {
          send();
        }
      }

      /** Records what has no answer, and leaves. */
      function end(isClosed: boolean): void {
        if (hasEnded) {
          return;
        }
        hasEnded = true;
        patience.cancel();
        const isBehind = answer !== undefined || hasClosingAnswer;
        if (answer) {
          waiting -= 1;
          record('cut', answer.status, isClosed);
        }
        for (; waiting > 0; waiting -= 1) {
          record(isBehind ? 'behind' : 'unanswered', 0, isClosed);
        }
        socket.destroy();
        resolve();
      }

      function record(
        outcome: CallOutcome,
        status: number,
        isClosed: boolean,
      ): void {
        const tookMs = timers.nowMs() - sentMs;
        onCall({kind, outcome, status, tookMs, isClosed});
      }
    });
  }

  return {
    stop: () => {
      isStopping = true;
      return stopped;
    },
    leave: () => {
      isStopping = true;
      leaveConnection();
    },
  };
}

function isUpload(kind: CallerKind): boolean {
  return kind !== 'sound' && kind !== 'steady' && kind !== 'three-ahead';
}

function parseHead(head: string): Answer {
  const [, length] = /^content-length: *(\d+)/im.exec(head) ?? [];
  return {
    status: Number(head.split(' ')[1]),
    bytesLeft: length === undefined ? Infinity : Number(length),
    closes: /^connection: *close/im.test(head),
  };
}
