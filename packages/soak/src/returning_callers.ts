/**
 * Callers that open a connection for each request to a VM that stops, and come
 * again as soon as they have been answered, until they are not let in any more.
 */
import {connect} from 'node:net';
import type {TimerService} from '@ibisbeam/library';
import type {GatewayProcess} from './gateway_process.js';
import type {CallRecord} from './records.js';

export interface ReturningCallers {
  /** Call it when the VM has been told to stop. */
  crowd(vm: GatewayProcess): void;
  /** Resolves when the requests that have been sent have ended. */
  stop(): Promise<void>;
  readonly calls: readonly CallRecord[];
}

/** What became of one request. */
type Outcome = 'answered' | 'ended' | 'not let in';

/** Shortly before a VM looks for an empty queue to close its listener. */
const CROWD_DELAY_MS = 2_100;
const CALLERS = 60;
const DEADLINE_MS = 1_200;
/** Longer than the rest of a planned stop. */
const CALL_TIMEOUT_MS = 5_000;
const ANSWER_PATTERN = /^HTTP\/1\.1 (\d+) ([^]*?)\r\n\r\n/;
const SEAL_PATTERN = /^x-ibisbeam-response-seal: *(\S+)$/im;

export function createReturningCallers(
  host: string,
  timers: Pick<TimerService, 'after' | 'nowMs' | 'sleep'>,
): ReturningCallers {
  const calls: CallRecord[] = [];
  const callers = new Set<Promise<void>>();
  let isStopping = false;
  let sent = 0;

  function crowd(vm: GatewayProcess): void {
    const crowding = timers.sleep(CROWD_DELAY_MS).then(async () => {
      const others: Promise<void>[] = [];
      for (let index = 0; index < CALLERS; index += 1) {
        others.push(callAgain(vm));
      }
      await Promise.all(others);
    });
    callers.add(crowding);
    void crowding.then(() => callers.delete(crowding));
  }

  async function callAgain(vm: GatewayProcess): Promise<void> {
    let outcome: Outcome = 'answered';
    while (outcome === 'answered' && !isStopping) {
      outcome = await callOnce(vm);
    }
  }

  function callOnce(vm: GatewayProcess): Promise<Outcome> {
    sent += 1;
    const attemptId = `returning-${sent}`;
    const sentMs = timers.nowMs();
    let writtenMs: number | undefined;
    let received = '';
    let hasLeft = false;
    const socket = connect(vm.caller.port, vm.caller.host);
    socket.setEncoding('latin1');
    socket.on('error', () => {});
    socket.on('data', (text: string) => {
      received += text;
    });
    const head = [
      'GET /rooms/1 HTTP/1.1',
      `Host: ${host}`,
      'Connection: close',
      `X-Ibisbeam-Attempt-Id: ${attemptId}`,
      `X-Ibisbeam-Deadline-Ms: ${DEADLINE_MS}`,
      '\r\n',
    ];
    socket.write(head.join('\r\n'), error => {
      writtenMs = error ? undefined : timers.nowMs();
    });
    const timeout = timers.after(CALL_TIMEOUT_MS, () => {
      hasLeft = true;
      socket.destroy();
    });
    return new Promise(resolve => {
      socket.on('close', () => {
        timeout.cancel();
        if (writtenMs === undefined) {
          resolve('not let in');
          return;
        }
        const [, code = '0', headers = ''] =
          ANSWER_PATTERN.exec(received) ?? [];
        const status = Number(code);
        calls.push({
          attemptId,
          idempotent: true,
          vm: vm.id,
          hasLeft,
          sentMs,
          writtenMs,
          endedMs: timers.nowMs(),
          status,
          hasBegun: status > 0,
          whole: status > 0,
          seal: SEAL_PATTERN.exec(headers)?.[1],
          isCrashing: false,
          isQuarantined: false,
        });
        resolve(status > 0 ? 'answered' : 'ended');
      });
    });
  }

  return {
    calls,
    crowd,
    stop: async () => {
      isStopping = true;
      await Promise.all(callers);
    },
  };
}
