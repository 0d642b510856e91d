/**
 * Callers that go on using a connection until its VM closes it. Some send
 * look-ups ahead, or before and behind long answers, others send bookings whose
 * bodies take seconds.
 */
import {type Socket, connect} from 'node:net';
import type {TimerHandle, TimerService} from '@ibisbeam/library';
import type {GatewayProcess} from './gateway_process.js';
import {HELD_PATH, LARGE_PATH} from './load_generator.js';
import type {CallRecord} from './records.js';

export interface PersistentCallers {
  start(): void;
  /** Sends no new requests; resolves when those sent have ended. */
  stop(): Promise<void>;
  readonly calls: readonly CallRecord[];
  /** Opens connections at a high rate while the VM closes its listener. */
  crowd(vm: GatewayProcess): void;
}

/** A request that has been begun on a connection. */
interface SentCall {
  readonly attemptId: string;
  readonly idempotent: boolean;
  readonly sentMs: number;
  /** Absent until all of it has been written, and for bookings. */
  writtenMs?: number;
}

interface CallerConnection {
  send(call: SentCall, text: string): void;
  write(text: string): void;
  /** Reads nothing for the time, from the next bytes on. */
  delayReading(delayMs: number, onDelay: () => void): void;
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
const LONG_ANSWER_INTERVAL_MS = 400;
/** The next request is sent that long after the head of the long answer. */
const BEHIND_DELAY_MS = 300;
const READ_DELAY_MS = 1_500;
const LONG_ANSWER_DEADLINE_MS = 6_000;
/** Begins and ends around the moment at which a VM closes its listener. */
const CROWD_DELAY_MS = 2_000;
const CROWD_SPAN_MS = 500;
const CROWD_INTERVAL_MS = 20;
const CROWD_CONNECTIONS = 8;
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
  const shortLived = new Set<CallerConnection>();
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

  function open(
    vm: GatewayProcess,
    record: (call: CallRecord) => void = call => calls.push(call),
  ): CallerConnection {
    const {host: address, port} = vm.caller;
    return openConnection(connect(port, address), vm.id, timers, record);
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
    sendLookUp(connection, 'ahead', DEADLINE_MS);
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

  /** Sends a look-up behind an answer of which a part is still on its way. */
  function sendBehind(vm: GatewayProcess): void {
    const connection = open(vm);
    shortLived.add(connection);
    const long = begin('long', true);
    connection.delayReading(READ_DELAY_MS, () => {
      timers.after(BEHIND_DELAY_MS, () => {
        if (connection.isOpen()) {
          sendLookUp(connection, 'behind', LONG_ANSWER_DEADLINE_MS);
        }
      });
    });
    connection.send(
      long,
      headOf(`GET ${LARGE_PATH}`, long, [
        `X-Ibisbeam-Deadline-Ms: ${LONG_ANSWER_DEADLINE_MS}`,
      ]),
    );
  }

  /**
   * Sends look-ups before and behind a long answer that VMs hold until it is whole:
   * if it breaks off, the others are answered all the same.
   */
  function sendAround(vm: GatewayProcess): void {
    const connection = open(vm, call =>
      calls.push({...call, behind: undefined}),
    );
    shortLived.add(connection);
    for (const path of ['/rooms/1', HELD_PATH, '/rooms/2']) {
      const call = begin('around', true);
      const deadline = `X-Ibisbeam-Deadline-Ms: ${LONG_ANSWER_DEADLINE_MS}`;
      connection.send(call, headOf(`GET ${path}`, call, [deadline]));
    }
  }

  function crowd(vm: GatewayProcess): void {
    const fromMs = timers.nowMs() + CROWD_DELAY_MS;
    const handle = timers.every(CROWD_INTERVAL_MS, () => {
      const sinceMs = timers.nowMs() - fromMs;
      if (sinceMs > CROWD_SPAN_MS) {
        handle.cancel();
        handles.delete(handle);
        return;
      }
      for (
        let count = 0;
        sinceMs >= 0 && count < CROWD_CONNECTIONS;
        count += 1
      ) {
        const connection = open(vm);
        shortLived.add(connection);
        sendLookUp(connection, 'crowd', DEADLINE_MS);
      }
    });
    handles.add(handle);
  }

  function sendLookUp(
    connection: CallerConnection,
    prefix: string,
    deadlineMs: number,
  ): void {
    const call = begin(prefix, true);
    const deadline = `X-Ibisbeam-Deadline-Ms: ${deadlineMs}`;
    connection.send(call, headOf('GET /rooms/1', call, [deadline]));
  }

  /** Leaves the connections on which everything has been answered. */
  function leaveAnswered(): void {
    for (const connection of shortLived) {
      if (connection.unanswered() === 0) {
        shortLived.delete(connection);
        connection.leave();
      }
    }
  }

  function openConnections(): readonly CallerConnection[] {
    return [...aheadConnections.values(), ...uploads, ...shortLived];
  }

  let senders: readonly TimerHandle[] = [];

  return {
    calls,
    crowd,
    start: () => {
      let uploadCount = 0;
      let longAnswers = 0;
      senders = [
        timers.every(SEND_INTERVAL_MS, () => {
          for (const vm of vms) {
            sendAhead(vm);
          }
        }),
        timers.every(LONG_ANSWER_INTERVAL_MS, () => {
          leaveAnswered();
          const vm = vms[longAnswers % vms.length];
          longAnswers += 1;
          if (vm) {
            sendBehind(vm);
            sendAround(vm);
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
  timers: Pick<TimerService, 'after' | 'nowMs'>,
  record: (call: CallRecord) => void,
): CallerConnection {
  const unanswered: SentCall[] = [];
  let received = '';
  /** Length of the answer that is being received, 0 if not known. */
  let neededLength = 0;
  let hasLeft = false;
  let isOpen = true;
  let delay: {readonly ms: number; onDelay(): void} | undefined;

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
      writtenMs: call.writtenMs,
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
    const [first] = unanswered;
    for (const [index, call] of unanswered.splice(0).entries()) {
      end(call, 0, {
        hasLeft,
        hasBegun: index === 0 && received !== '',
        behind: index === 0 ? undefined : first?.attemptId,
      });
    }
  }

  /** Takes the whole answers that have been received. */
  function readAnswers(): void {
    while (received.length >= neededLength) {
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
      neededLength = answerEnd;
      if (received.length < answerEnd) {
        return;
      }
      neededLength = 0;
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
    if (delay) {
      const {ms, onDelay} = delay;
      delay = undefined;
      socket.pause();
      timers.after(ms, () => socket.resume());
      onDelay();
    }
  });
  socket.on('error', () => {});
  socket.on('close', close);

  return {
    send: (call, text) => {
      unanswered.push(call);
      socket.write(text, error => {
        if (!error && call.idempotent) {
          call.writtenMs = timers.nowMs();
        }
      });
    },
    delayReading: (ms, onDelay) => {
      delay = {ms, onDelay};
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
