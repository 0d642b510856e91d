/** Load generator that sends look-ups and bookings over keep-alive connections. */
import {Agent, request as httpRequest} from 'node:http';
import type {RandomSource} from '@ibisbeam/decision';
import type {TimerService} from '@ibisbeam/library';
import type {GatewayProcess} from './gateway_process.js';
import {CALLER_DEADLINE_MS, type CallRecord} from './observations.js';

export interface LoadGenerator {
  start(): void;
  /** Sends no new requests; resolves when all pending calls have ended. */
  stop(): Promise<void>;
  readonly calls: readonly CallRecord[];
  /** Sends one extra look-up; returns its status, 0 without a response. */
  probe(vm: GatewayProcess): Promise<number>;
}

const SEND_INTERVAL_MS = 8;
/** One of this many callers leaves early. */
const CALLS_PER_EARLY_LEAVER = 25;
const EARLY_LEAVER_PATIENCE_MS = 15;
const BOOKING_FRACTION = 0.4;
const AFFINITY_KEYS = 60;
const CONNECTIONS_PER_VM = 40;
const DRAIN_POLL_MS = 20;

export function createLoadGenerator(
  vms: readonly GatewayProcess[],
  host: string,
  timers: TimerService,
  random: RandomSource,
): LoadGenerator {
  const agent = new Agent({keepAlive: true, maxSockets: CONNECTIONS_PER_VM});
  const calls: CallRecord[] = [];
  let pending = 0;
  let sent = 0;
  let sendTimer: {cancel(): void} | undefined;

  function send(vm: GatewayProcess, idempotent: boolean): Promise<number> {
    sent += 1;
    pending += 1;
    const attemptId = `call-${sent}`;
    const sentMs = timers.nowMs();
    const patienceMs =
      sent % CALLS_PER_EARLY_LEAVER === 0
        ? EARLY_LEAVER_PATIENCE_MS
        : CALLER_DEADLINE_MS;
    return new Promise(resolve => {
      const outgoing = httpRequest({
        ...vm.caller,
        agent,
        method: idempotent ? 'GET' : 'POST',
        path: idempotent ? '/rooms/1' : '/book/1',
        headers: {
          Host: host,
          'X-Ibisbeam-Attempt-Id': attemptId,
          'X-Ibisbeam-Deadline-Ms': String(CALLER_DEADLINE_MS),
          'X-Ibisbeam-Affinity-Key': String(random.below(AFFINITY_KEYS)),
        },
      });
      let isLeaving = false;
      const deadline = timers.after(patienceMs, () => {
        isLeaving = true;
        outgoing.destroy();
      });
      let ended = false;

      function finish(status: number, whole: boolean, seal?: string): void {
        if (ended) {
          return;
        }
        ended = true;
        pending -= 1;
        deadline.cancel();
        const endedMs = timers.nowMs();
        calls.push({
          attemptId,
          idempotent,
          vm: vm.id,
          hasLeft: isLeaving && status === 0,
          sentMs,
          endedMs,
          status,
          whole,
          seal,
        });
        resolve(status);
      }

      outgoing.on('error', () => finish(0, false));
      outgoing.on('response', incoming => {
        const seal = incoming.headers['x-ibisbeam-response-seal'];
        incoming.resume();
        incoming.on('error', () => finish(0, false));
        incoming.on('close', () =>
          finish(
            incoming.statusCode ?? 0,
            incoming.complete,
            typeof seal === 'string' ? seal : undefined,
          ),
        );
      });
      outgoing.end(idempotent ? undefined : 'room=1');
    });
  }

  return {
    calls,
    probe: vm => send(vm, true),
    start: () => {
      sendTimer = timers.every(SEND_INTERVAL_MS, () => {
        const vm = vms[random.below(vms.length)];
        if (vm) {
          void send(vm, random.next() >= BOOKING_FRACTION);
        }
      });
    },
    stop: async () => {
      sendTimer?.cancel();
      while (pending > 0) {
        await timers.sleep(DRAIN_POLL_MS);
      }
      agent.destroy();
    },
  };
}
