/**
 * Callers that go on using a connection until its VM closes it. Some send
 * look-ups ahead, others send bookings whose bodies take seconds.
 */
import {type Socket, connect} from 'node:net';
import type {TimerHandle, TimerService} from '@ibisbeam/library';
import type {GatewayProcess} from './gateway_process.js';
import type {CallRecord} from './records.js';

export interface PersistentCallers {
  start(): void;
  /** Sends no new requests; resolves when those sent have ended. */
  stop(): Promise<void>;
  readonly calls: readonly CallRecord[];
}

/** A request that has been begun on a connection. */
interface SentCall {
  readonly attemptId: string;
  readonly idempotent: boolean;
  readonly sentMs: number;
}

interface CallerConnection {
  send(call: SentCall, text: string): void;
  write(text: string): void;
  unanswered(): number;
  isOpen(): boolean;
  /** Closes it; what has no answer counts as left. */
  leave(): void;
}

/** Shorter than a run, so that requests are under way at any time. */
const SEND_INTERVAL_MS = 15;
const MAXIMUM_UNANSWERED = 6;
const DEADLINE_MS = 1_200;
const UPLOAD_DEADLINE_MS = 8_000;
const UPLOAD_INTERVAL_MS = 700;
/** Some end early, some late in a planned stop, some not within it. */
const UPLOAD_SPANS_MS = [300, 2_500, 4_500, 6_500];
const UPLOAD_PIECE = 'room=1;';
const UPLOAD_PIECE_INTERVAL_MS = 100;
const STOP_TIMEOUT_MS = 9_000;
const STOP_POLL_MS = 20;
const HEAD_END = '\r\n\r\n';

export function createPersistentCallers(
  vms: readonly GatewayProcess[],
  host: string,
  timers: TimerService,
): PersistentCallers {
  const calls: CallRecord[] = [];
  const aheadConnections = new Map<GatewayProcess, CallerConnection>();
  const uploads = new Set<CallerConnection>();
  const handles = new Set<TimerHandle>();
  let sent = 0;

  function begin(prefix: string, idempotent: boolean): SentCall {
    sent += 1;
    return {
      attemptId: `${prefix}-${sent}`,
      idempotent,
      sentMs: timers.nowMs(),
    };
  }

  function open(vm: GatewayProcess): CallerConnection {
    const {host: address, port} = vm.caller;
    return openConnection(connect(port, address), vm.id, timers, record =>
      calls.push(record),
    );
  }

  function headOf(line: string, call: SentCall, others: readonly string[]) {
    return [
      `${line} HTTP/1.1`,
      `Host: ${host}`,
      `X-Ibisbeam-Attempt-Id: ${call.attemptId}`,
      ...others,
      HEAD_END.slice(2),
    ].join('\r\n');
  }

  function sendAhead(vm: GatewayProcess): void {
    const known = aheadConnections.get(vm);
    const connection = known?.isOpen() ? known : open(vm);
    aheadConnections.set(vm, connection);
    if (connection.unanswered() >= MAXIMUM_UNANSWERED) {
      return;
    }
    const call = begin('ahead', true);
    const deadline = `X-Ibisbeam-Deadline-Ms: ${DEADLINE_MS}`;
    connection.send(call, headOf('GET /rooms/1', call, [deadline]));
  }

  function sendSlowly(vm: GatewayProcess, spanMs: number): void {
    const connection = open(vm);
    const pieces = Math.ceil(spanMs / UPLOAD_PIECE_INTERVAL_MS);
    const call = begin('upload', false);
    uploads.add(connection);
    connection.send(
      call,
      headOf('POST /book/1', call, [
        `X-Ibisbeam-Deadline-Ms: ${UPLOAD_DEADLINE_MS}`,
        `Content-Length: ${pieces * UPLOAD_PIECE.length}`,
      ]),
    );
    let written = 0;
    const handle = timers.every(UPLOAD_PIECE_INTERVAL_MS, () => {
      if (written < pieces && connection.isOpen()) {
        connection.write(UPLOAD_PIECE);
        written += 1;
        return;
      }
      if (connection.unanswered() === 0) {
        handle.cancel();
        handles.delete(handle);
        uploads.delete(connection);
        connection.leave();
      }
    });
    handles.add(handle);
  }

  function openConnections(): readonly CallerConnection[] {
    return [...aheadConnections.values(), ...uploads];
  }

  let senders: readonly TimerHandle[] = [];

  return {
    calls,
    start: () => {
      let uploadCount = 0;
      senders = [
        timers.every(SEND_INTERVAL_MS, () => {
          for (const vm of vms) {
            sendAhead(vm);
          }
        }),
        timers.every(UPLOAD_INTERVAL_MS, () => {
          const vm = vms[uploadCount % vms.length];
          const round = Math.floor(uploadCount / vms.length);
          uploadCount += 1;
          if (vm) {
            const spanMs = UPLOAD_SPANS_MS[round % UPLOAD_SPANS_MS.length] ?? 0;
            sendSlowly(vm, spanMs);
          }
        }),
      ];
    },
    stop: async () => {
      for (const sender of senders) {
        sender.cancel();
      }
      const endMs = timers.nowMs() + STOP_TIMEOUT_MS;
      while (
        timers.nowMs() < endMs &&
        openConnections().some(connection => connection.unanswered() > 0)
      ) {
        await timers.sleep(STOP_POLL_MS);
      }
      for (const connection of openConnections()) {
        connection.leave();
      }
      for (const handle of handles) {
        handle.cancel();
      }
    },
  };
}

function openConnection(
  socket: Socket,
  vm: string,
  timers: Pick<TimerService, 'nowMs'>,
  record: (call: CallRecord) => void,
): CallerConnection {
  const unanswered: SentCall[] = [];
  let received = '';
  let hasLeft = false;
  let isOpen = true;

  function end(
    call: SentCall,
    status: number,
    changes: Partial<CallRecord>,
  ): void {
    record({
      attemptId: call.attemptId,
      idempotent: call.idempotent,
      vm,
      hasLeft: false,
      sentMs: call.sentMs,
      endedMs: timers.nowMs(),
      status,
      hasBegun: status > 0,
      whole: status > 0,
      seal: undefined,
      isCrashing: false,
      isQuarantined: false,
      ...changes,
    });
  }

  function close(): void {
    if (!isOpen) {
      return;
    }
    isOpen = false;
    socket.destroy();
    for (const [index, call] of unanswered.splice(0).entries()) {
      end(call, 0, {hasLeft, hasBegun: index === 0 && received !== ''});
    }
  }

  /** Takes the whole answers that have been received. */
  function readAnswers(): void {
    for (;;) {
      const headEnd = received.indexOf(HEAD_END);
      const [call] = unanswered;
      if (headEnd < 0 || !call) {
        return;
      }
      const head = received.slice(0, headEnd);
      const length = Number(headerOf(head, 'content-length') ?? Number.NaN);
      const answerEnd = headEnd + HEAD_END.length + length;
      if (Number.isNaN(length)) {
        hasLeft = true;
        close();
        return;
      }
      if (received.length < answerEnd) {
        return;
      }
      received = received.slice(answerEnd);
      unanswered.shift();
      end(call, Number(head.slice(9, 12)), {
        seal: headerOf(head, 'x-ibisbeam-response-seal'),
      });
    }
  }

  socket.setEncoding('latin1');
  socket.on('data', (text: string) => {
    received += text;
    readAnswers();
  });
  socket.on('error', () => {});
  socket.on('close', close);

  return {
    send: (call, text) => {
      unanswered.push(call);
      socket.write(text);
    },
    write: text => {
      socket.write(text);
    },
    unanswered: () => unanswered.length,
    isOpen: () => isOpen,
    leave: () => {
      hasLeft = true;
      close();
    },
  };
}

function headerOf(head: string, name: string): string | undefined {
  return new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1]?.trim();
}
