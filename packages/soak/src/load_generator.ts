/**
 * Load generator that sends look-ups, bookings and requests that crash targets
 * over keep-alive connections.
 */
import {Agent, request as httpRequest} from 'node:http';
import type {RandomSource} from '@ibisbeam/decision';
import type {TimerService} from '@ibisbeam/library';
import type {GatewayProcess} from './gateway_process.js';
import type {CallRecord} from './records.js';

export interface LoadGenerator {
  start(): void;
  /** Sends no new requests; resolves when all pending calls have ended. */
  stop(): Promise<void>;
  readonly calls: readonly CallRecord[];
  /**
   * Sends a look-up that crashes each target that runs it.
   *
   * @param patienceMs Time after which its caller leaves.
   */
  sendCrashing(vm: GatewayProcess, patienceMs: number): void;
  /**
   * Sends a look-up whose large answer is read slowly.
   *
   * @param readDelayMs Time from the head of the answer until it is read.
   */
  sendSlowReader(vm: GatewayProcess, readDelayMs: number): void;
  /** Sends a look-up that targets may answer without end. */
  sendEndless(vm: GatewayProcess): void;
  /** Sends one extra look-up; returns its status, 0 without a response. */
  probe(vm: GatewayProcess): Promise<number>;
}

/** Path of the look-up that crashes targets. */
export const CRASH_PATH = '/rooms/crash';
/** Path of the look-up that targets answer at length. */
export const LARGE_PATH = '/rooms/large';
/** Path of the look-up that targets may answer without end. */
export const ENDLESS_PATH = '/rooms/endless';
/** Its answer is long, and VMs have the memory to hold it. */
export const HELD_PATH = '/rooms/held';
const SLOW_READER_PATIENCE_MS = 6_000;
const QUARANTINE_REASON = 'requests like this one crashed targets';
const MAXIMUM_REASON_BYTES = 1_024;
const SEND_INTERVAL_MS = 8;
const DEADLINE_MS = 1_200;
/** One of this many callers leaves early. */
const CALLS_PER_EARLY_LEAVER = 25;
const EARLY_LEAVER_PATIENCE_MS = 15;
const BOOKING_FRACTION = 0.4;
const AFFINITY_KEYS = 60;
const CONNECTIONS_PER_VM = 40;
const DRAIN_POLL_MS = 20;

interface Call {
  readonly kind: 'look-up' | 'booking' | 'crashing' | 'large' | 'endless';
  readonly patienceMs: number;
  /** Time for which the caller reads nothing, from the head of the answer on. */
  readonly readDelayMs?: number;
}

const PATHS: Readonly<Record<Call['kind'], string>> = {
  'look-up': '/rooms/1',
  booking: '/book/1',
  crashing: CRASH_PATH,
  large: LARGE_PATH,
  endless: ENDLESS_PATH,
};

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

  function affinityKeyOf(kind: Call['kind']): number {
    // Others draw nothing, so that the usual calls of a seed stay the same.
    return kind === 'look-up' || kind === 'booking'
      ? random.below(AFFINITY_KEYS)
      : 0;
  }

  function send(vm: GatewayProcess, idempotent: boolean): Promise<number> {
    const leavesEarly = (sent + 1) % CALLS_PER_EARLY_LEAVER === 0;
    return sendCall(vm, {
      kind: idempotent ? 'look-up' : 'booking',
      patienceMs: leavesEarly ? EARLY_LEAVER_PATIENCE_MS : DEADLINE_MS,
    });
  }

  function sendCall(
    vm: GatewayProcess,
    {kind, patienceMs, readDelayMs = 0}: Call,
  ): Promise<number> {
    sent += 1;
    pending += 1;
    const attemptId = `call-${sent}`;
    const sentMs = timers.nowMs();
    const idempotent = kind !== 'booking';
    return new Promise(resolve => {
      const outgoing = httpRequest({
        ...vm.caller,
        agent,
        method: idempotent ? 'GET' : 'POST',
        path: PATHS[kind],
        headers: {
          Host: host,
          'X-Ibisbeam-Attempt-Id': attemptId,
          'X-Ibisbeam-Deadline-Ms': String(DEADLINE_MS),
          'X-Ibisbeam-Affinity-Key': String(affinityKeyOf(kind)),
        },
      });
      let isLeaving = false;
      const deadline = timers.after(patienceMs, () => {
        isLeaving = true;
        outgoing.destroy();
      });
      let ended = false;
      let hasBegun = false;
      let reason = '';

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
          hasBegun,
          whole,
          seal,
          isCrashing: kind === 'crashing',
          isQuarantined: reason.includes(QUARANTINE_REASON),
        });
        resolve(status);
      }

      outgoing.on('error', () => finish(0, false));
      outgoing.on('response', incoming => {
        hasBegun = true;
        const seal = incoming.headers['x-ibisbeam-response-seal'];
        if (readDelayMs > 0) {
          incoming.pause();
          timers.after(readDelayMs, () => incoming.resume());
        }
        incoming.on('data', (chunk: Buffer) => {
          if (reason.length < MAXIMUM_REASON_BYTES) {
            reason += chunk.toString('latin1');
          }
        });
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
    sendCrashing: (vm, patienceMs) => {
      void sendCall(vm, {kind: 'crashing', patienceMs});
    },
    sendSlowReader: (vm, readDelayMs) => {
      void sendCall(vm, {
        kind: 'large',
        patienceMs: SLOW_READER_PATIENCE_MS,
        readDelayMs,
      });
    },
    sendEndless: vm => {
      void sendCall(vm, {kind: 'endless', patienceMs: DEADLINE_MS});
    },
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
