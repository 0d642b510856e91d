/** A target as the bench models it: slots, a short queue, faults. */
import type {
  RandomSource,
  RequestId,
  Target,
  TargetReport,
} from '@ibisbeam/decision';
import type {TraceEvent} from '@ibisbeam/invariants';
import type {EventLoop, ScheduledCall} from './event_loop.js';

/** A cold target needs this many times as long for its first request. */
const COLD_FACTOR = 4;
/** Requests until a cold target is warm. */
const WARM_UP_REQUESTS = 40;
const FAIL_FAST_MS = 2;
const CRASH_AFTER_MS = 5;
const RESTART_MS = 20_000;
/** Targets of one service differ in speed by up to this much each way. */
const SPEED_SPREAD = 0.2;
/** Now and then a run stalls, as in a collection of garbage. */
const STALL_PROBABILITY = 0.01;
const STALL_MEAN_MS = 250;
/** A leaving target refuses new work after this time. */
const LEAVING_NOTICE_MS = 10_000;

export interface TargetWork {
  readonly request: RequestId;
  readonly fingerprint: string;
  readonly serviceMs: number;
  readonly crashesTarget: boolean;
  /** The slot stays in use until the whole answer has gone out. */
  readonly streams: boolean;
  readonly reply: (reply: TargetReply) => void;
}

export type TargetReply =
  | {readonly kind: 'answered'; readonly status: number}
  /** The head is out; the sender of the work calls `finish` at the end. */
  | {readonly kind: 'streaming'; readonly status: number}
  | {readonly kind: 'shed'}
  | {readonly kind: 'broken'};

/** What faults change on a target. */
export interface TargetFaults {
  slowFactor: number;
  failsFast: boolean;
  reports: 'true' | 'lying' | 'silent';
}

export interface BenchTarget {
  readonly specification: Target;
  readonly faults: TargetFaults;
  readonly up: () => boolean;
  readonly leaving: () => boolean;
  /** Requests that run or wait here. */
  readonly held: () => number;
  /** Expected time of a request of unit service time, for the oracle. */
  readonly speedFactor: () => number;
  enter(work: TargetWork): void;
  /** The last byte of a streamed answer has gone out. */
  finish(request: RequestId): void;
  /** The caller's connection closed: drops the request, wherever it is. */
  cancel(request: RequestId): void;
  report(): TargetReport | undefined;
  leave(): void;
  stayAfterAll(): void;
  makeCold(): void;
  fail(fingerprint?: string, restarts?: boolean): void;
  restart(): void;
}

interface Held {
  readonly work: TargetWork;
  /** Set while it runs. */
  end?: ScheduledCall;
}

export function createBenchTarget(
  specification: Target,
  loop: EventLoop,
  record: (event: TraceEvent) => void,
  random: RandomSource,
): BenchTarget {
  const target = specification.id;
  const faults: TargetFaults = {
    slowFactor: 1,
    failsFast: false,
    reports: 'true',
  };
  const held = new Map<RequestId, Held>();
  const queue: Held[] = [];
  const ownFactor = 1 + SPEED_SPREAD * (2 * random.next() - 1);
  let running = 0;
  let alive = true;
  let served = WARM_UP_REQUESTS;
  let leavingSinceMs: number | undefined;

  function coldFactor(): number {
    const warmth = Math.min(served / WARM_UP_REQUESTS, 1);
    return COLD_FACTOR - (COLD_FACTOR - 1) * warmth;
  }

  function speedFactor(): number {
    return ownFactor * faults.slowFactor * coldFactor();
  }

  function stallMs(): number {
    const stalls = random.next() < STALL_PROBABILITY;
    return stalls ? -Math.log(1 - random.next()) * STALL_MEAN_MS : 0;
  }

  function enter(work: TargetWork): void {
    if (!alive) {
      work.reply({kind: 'broken'});
      return;
    }
    const full = held.size >= specification.slots * 2;
    const refusing =
      leavingSinceMs !== undefined &&
      loop.nowMs() - leavingSinceMs > LEAVING_NOTICE_MS;
    if (full || refusing) {
      work.reply({kind: 'shed'});
      return;
    }
    const entry: Held = {work};
    held.set(work.request, entry);
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

  function start(entry: Held): void {
    const {work} = entry;
    running += 1;
    record({
      kind: 'run-started',
      atMs: loop.nowMs(),
      target,
      request: work.request,
    });
    if (work.crashesTarget) {
      entry.end = loop.after(CRASH_AFTER_MS, () => fail(work.fingerprint));
      return;
    }
    const lasts = faults.failsFast
      ? FAIL_FAST_MS
      : work.serviceMs * speedFactor() + stallMs();
    served += 1;
    const status = faults.failsFast ? 500 : 200;
    entry.end = loop.after(lasts, () => {
      if (work.streams && !faults.failsFast) {
        work.reply({kind: 'streaming', status});
        return;
      }
      leaveTarget(entry);
      work.reply({kind: 'answered', status});
    });
  }

  function finish(request: RequestId): void {
    const entry = held.get(request);
    if (entry) {
      leaveTarget(entry);
    }
  }

  function leaveTarget(entry: Held): void {
    const {request} = entry.work;
    held.delete(request);
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
    const entry = held.get(request);
    if (!entry) {
      return;
    }
    entry.end?.cancel();
    const position = queue.indexOf(entry);
    if (position >= 0) {
      queue.splice(position, 1);
      held.delete(request);
      record({kind: 'target-left', atMs: loop.nowMs(), target, request});
      return;
    }
    leaveTarget(entry);
  }

  function fail(fingerprint?: string, restarts = true): void {
    alive = false;
    const lost = [...held.values()];
    held.clear();
    queue.length = 0;
    running = 0;
    record({kind: 'target-lost', atMs: loop.nowMs(), target, fingerprint});
    for (const entry of lost) {
      entry.end?.cancel();
      entry.work.reply({kind: 'broken'});
    }
    if (restarts) {
      loop.after(RESTART_MS, restart);
    }
  }

  function restart(): void {
    if (alive) {
      return;
    }
    alive = true;
    served = 0;
  }

  function report(): TargetReport | undefined {
    if (!alive || faults.reports === 'silent') {
      return undefined;
    }
    const lying = faults.reports === 'lying';
    return {
      target,
      inFlight: lying ? 0 : held.size,
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
    held: () => held.size,
    speedFactor,
    enter,
    finish,
    cancel,
    report,
    leave: () => {
      leavingSinceMs ??= loop.nowMs();
    },
    stayAfterAll: () => {
      leavingSinceMs = undefined;
    },
    makeCold: () => {
      served = 0;
    },
    fail,
    restart,
  };
}
