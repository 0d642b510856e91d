/**
 * Simulated target with a fixed number of slots, a queue of the same length and
 * injectable faults.
 */
import type {
  RandomSource,
  RequestId,
  Target,
  TargetReport,
} from '@ibisbeam/decision';
import type {TraceEvent} from '@ibisbeam/invariants';
import type {EventLoop, ScheduledCall} from './event_loop.js';

/** Slowdown of the first request on a cold target. */
const COLD_SLOWDOWN_FACTOR = 4;
/** Requests after which a cold target runs at full speed. */
const WARM_UP_REQUESTS = 40;
const FAST_FAILURE_MS = 2;
const CRASH_DELAY_MS = 5;
const RESTART_DELAY_MS = 20_000;
/** Maximum deviation of the speed of a target, as a fraction each way. */
const SPEED_SPREAD = 0.2;
/** Models occasional stalls, such as garbage collection pauses. */
const STALL_PROBABILITY = 0.01;
const STALL_MEAN_MS = 250;
/** Time after which a leaving target refuses new requests. */
const LEAVING_GRACE_MS = 10_000;

export interface TargetWork {
  readonly request: RequestId;
  readonly fingerprint: string;
  readonly serviceMs: number;
  readonly crashesTarget: boolean;
  /** A streamed response occupies its slot until it is completely sent. */
  readonly streams: boolean;
  readonly onReply: (reply: TargetReply) => void;
}

export type TargetReply =
  | {readonly kind: 'answered'; readonly status: number}
  /** The head was sent; the submitter calls `finish` after the body. */
  | {readonly kind: 'streaming'; readonly status: number}
  | {readonly kind: 'shed'}
  | {readonly kind: 'broken'};

/** Fault state of a target, set by the fault injection. */
export interface TargetFaults {
  slowFactor: number;
  failsFast: boolean;
  reports: 'true' | 'lying' | 'silent';
}

export interface SimulatedTarget {
  readonly specification: Target;
  readonly faults: TargetFaults;
  readonly up: () => boolean;
  readonly leaving: () => boolean;
  /** Number of running and queued requests. */
  readonly inFlight: () => number;
  /** Expected service time relative to a warm, healthy target. */
  readonly speedFactor: () => number;
  submit(work: TargetWork): void;
  /** Frees the slot after the last byte of a streamed response. */
  finish(request: RequestId): void;
  /** Drops a running or queued request whose connection was closed. */
  cancel(request: RequestId): void;
  report(): TargetReport | undefined;
  startLeaving(): void;
  stopLeaving(): void;
  resetWarmUp(): void;
  /** Crashes the target; by default it restarts after a delay. */
  fail(fingerprint?: string, restarts?: boolean): void;
  restart(): void;
}

interface HeldRequest {
  readonly work: TargetWork;
  /** Set while the request occupies a slot. */
  end?: ScheduledCall;
}

export function createSimulatedTarget(
  specification: Target,
  loop: EventLoop,
  record: (event: TraceEvent) => void,
  random: RandomSource,
): SimulatedTarget {
  const target = specification.id;
  const faults: TargetFaults = {
    slowFactor: 1,
    failsFast: false,
    reports: 'true',
  };
  const requests = new Map<RequestId, HeldRequest>();
  const queue: HeldRequest[] = [];
  const baseSpeedFactor = 1 + SPEED_SPREAD * (2 * random.next() - 1);
  let running = 0;
  let alive = true;
  let requestsSinceStart = WARM_UP_REQUESTS;
  let leavingSinceMs: number | undefined;

  function coldFactor(): number {
    const warmFraction = Math.min(requestsSinceStart / WARM_UP_REQUESTS, 1);
    return COLD_SLOWDOWN_FACTOR - (COLD_SLOWDOWN_FACTOR - 1) * warmFraction;
  }

  function speedFactor(): number {
    return baseSpeedFactor * faults.slowFactor * coldFactor();
  }

  function stallMs(): number {
    const stalls = random.next() < STALL_PROBABILITY;
    return stalls ? -Math.log(1 - random.next()) * STALL_MEAN_MS : 0;
  }

  function enter(work: TargetWork): void {
    if (!alive) {
      work.onReply({kind: 'broken'});
      return;
    }
    const full = requests.size >= specification.slots * 2;
    const refusing =
      leavingSinceMs !== undefined &&
      loop.nowMs() - leavingSinceMs > LEAVING_GRACE_MS;
    if (full || refusing) {
      work.onReply({kind: 'shed'});
      return;
    }
    const entry: HeldRequest = {work};
    requests.set(work.request, entry);
    record({
      kind: 'target-entered',
      atMs: loop.nowMs(),
      target,
      request: work.request,
    });
    if (running < specification.slots) {
      start(entry);
    } else {
      queue.push(entry);
    }
  }

  function start(entry: HeldRequest): void {
    const {work} = entry;
    running += 1;
    record({
      kind: 'run-started',
      atMs: loop.nowMs(),
      target,
      request: work.request,
    });
    if (work.crashesTarget) {
      entry.end = loop.after(CRASH_DELAY_MS, () => fail(work.fingerprint));
      return;
    }
    const durationMs = faults.failsFast
      ? FAST_FAILURE_MS
      : work.serviceMs * speedFactor() + stallMs();
    requestsSinceStart += 1;
    const status = faults.failsFast ? 500 : 200;
    entry.end = loop.after(durationMs, () => {
      if (work.streams && !faults.failsFast) {
        work.onReply({kind: 'streaming', status});
        return;
      }
      releaseSlot(entry);
      work.onReply({kind: 'answered', status});
    });
  }

  function finish(request: RequestId): void {
    const entry = requests.get(request);
    if (entry) {
      releaseSlot(entry);
    }
  }

  function releaseSlot(entry: HeldRequest): void {
    const {request} = entry.work;
    requests.delete(request);
    record({kind: 'target-left', atMs: loop.nowMs(), target, request});
    if (entry.end) {
      running -= 1;
    }
    const next = queue.shift();
    if (next) {
      start(next);
    }
  }

  function cancel(request: RequestId): void {
    const entry = requests.get(request);
    if (!entry) {
      return;
    }
    entry.end?.cancel();
    const position = queue.indexOf(entry);
    if (position >= 0) {
      queue.splice(position, 1);
      requests.delete(request);
      record({kind: 'target-left', atMs: loop.nowMs(), target, request});
      return;
    }
    releaseSlot(entry);
  }

  function fail(fingerprint?: string, restarts = true): void {
    alive = false;
    const lost = [...requests.values()];
    requests.clear();
    queue.length = 0;
    running = 0;
    record({kind: 'target-lost', atMs: loop.nowMs(), target, fingerprint});
    for (const entry of lost) {
      entry.end?.cancel();
      entry.work.onReply({kind: 'broken'});
    }
    if (restarts) {
      loop.after(RESTART_DELAY_MS, restart);
    }
  }

  function restart(): void {
    if (alive) {
      return;
    }
    alive = true;
    requestsSinceStart = 0;
  }

  function report(): TargetReport | undefined {
    if (!alive || faults.reports === 'silent') {
      return undefined;
    }
    const lying = faults.reports === 'lying';
    return {
      target,
      inFlight: lying ? 0 : requests.size,
      slots: specification.slots,
      healthy: true,
      leaving: leavingSinceMs !== undefined,
    };
  }

  return {
    specification,
    faults,
    up: () => alive,
    leaving: () => leavingSinceMs !== undefined,
    inFlight: () => requests.size,
    speedFactor,
    submit: enter,
    finish,
    cancel,
    report,
    startLeaving: () => {
      leavingSinceMs ??= loop.nowMs();
    },
    stopLeaving: () => {
      leavingSinceMs = undefined;
    },
    resetWarmUp: () => {
      requestsSinceStart = 0;
    },
    fail,
    restart,
  };
}
