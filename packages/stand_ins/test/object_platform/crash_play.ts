/**
 * A fleet whose targets are ended by one request, which its caller sends again
 * and again beside other traffic. Crashed targets are replaced as the users'
 * platform does.
 */
import type {TimerHandle} from '@ibisbeam/library';
import {
  type CrashingArrival,
  type CrashingRequest,
  type FleetTarget,
  type LocalGateway,
} from '../../src/index.js';
import {
  type Answer,
  type Harness,
  call,
  isReady,
  startHarness,
  timers,
  waitUntil,
} from './harness.js';

export const CRASH_PATH = '/rooms/70/32b4';
export const POPULAR_PATH = '/rooms/popular';
export const TARGET_COUNT = 12;

const WORK_MS = 40;
const PLAY_MS = 9_000;
const REQUEST_INTERVAL_MS = 200;
/** A crashed target stays in the list until its heartbeats are missed. */
const LISTED_AFTER_CRASH_MS = 4_000;
/** Another target starts this long after a crash. */
const REPLACEMENT_DELAY_MS = 1_500;
const QUARANTINE_REASON = 'requests like this one crashed targets';
const CRASHING_ATTEMPT = 'crashing-';

export interface CrashPlayOptions {
  readonly crash?: Partial<CrashingRequest>;
  /** Address of the caller whose requests crash targets. */
  clientAddress?(index: number): string;
  /** The caller closes its connection after this time. */
  readonly abortAfterMs?: number;
  /** Paths that other callers ask each VM for, beside the usual traffic. */
  readonly otherPaths?: readonly string[];
  /** Called before each round of requests. */
  onRound?(index: number): void;
}

export interface CrashPlay {
  readonly harness: Harness;
  readonly gateways: readonly LocalGateway[];
  targets(): readonly FleetTarget[];
  setCrash(crash?: Partial<CrashingRequest>): void;
  /** Sends the request and, beside it, others to the VMs in turn. */
  play(options?: CrashPlayOptions): Promise<readonly Answer[]>;
  /** Runs of requests that crash targets. */
  crashingArrivals(): readonly CrashingArrival[];
  stop(): Promise<void>;
}

export function isQuarantined({body}: Answer): boolean {
  return body.includes(QUARANTINE_REASON);
}

export async function startCrashPlay(): Promise<CrashPlay> {
  const harness = await startHarness({workMs: WORK_MS}, TARGET_COUNT);
  const targets = [...harness.targets];
  const replaced = new Set<string>();
  const handles: TimerHandle[] = [];
  let crashing: CrashingRequest | undefined;
  const gateways = [
    harness.gateway,
    await harness.fleet.addGateway('edge-riga-b-1', 'riga-b'),
    await harness.fleet.addGateway('edge-kurz-a-1', 'kurz-a'),
  ];
  for (const gateway of gateways) {
    await waitUntil(() => isReady(gateway));
  }

  function setCrash(crash: Partial<CrashingRequest> = {}): void {
    crashing = {
      path: CRASH_PATH,
      connections: 'break',
      outlivesConnection: false,
      ...crash,
    };
    for (const target of targets) {
      target.setCrashingRequest(crashing);
    }
  }

  function replaceCrashed(): void {
    for (const target of targets) {
      if (target.crashedAtMs() === undefined || replaced.has(target.id)) {
        continue;
      }
      replaced.add(target.id);
      handles.push(
        timers.after(LISTED_AFTER_CRASH_MS, () =>
          harness.fleet.store.remove('servers', target.id),
        ),
        timers.after(REPLACEMENT_DELAY_MS, () => {
          void startReplacement(`after-${target.id}`);
        }),
      );
    }
  }

  async function startReplacement(id: string): Promise<void> {
    const target = await harness.fleet.addTarget({
      id,
      service: 'availability',
      zone: 'riga-a',
      slots: 4,
      workMs: WORK_MS,
    });
    if (crashing) {
      target.setCrashingRequest(crashing);
    }
    targets.push(target);
  }

  function crashingArrivals(): readonly CrashingArrival[] {
    return targets.flatMap(target =>
      target.runs
        .filter(
          ({path, attemptId}) =>
            path === CRASH_PATH && (crashing?.crashesFor?.(attemptId) ?? true),
        )
        .map(({atMs}) => ({
          target: target.id,
          atMs,
          crashedAtMs: target.crashedAtMs(),
        })),
    );
  }

  async function play(
    options: CrashPlayOptions = {},
  ): Promise<readonly Answer[]> {
    setCrash(options.crash);
    const answers: Promise<Answer>[] = [];
    const endsMs = timers.nowMs() + PLAY_MS;
    for (let index = 0; timers.nowMs() < endsMs; index += 1) {
      const gateway = gateways[index % gateways.length];
      options.onRound?.(index);
      if (gateway) {
        void call(gateway, {
          path: CRASH_PATH,
          key: '70',
          attemptId: `${CRASHING_ATTEMPT}${index}`,
          clientAddress: options.clientAddress?.(index),
          abortAfterMs: options.abortAfterMs,
        });
      }
      for (const other of gateways) {
        const path = `/rooms/${index % 5}/${index}`;
        answers.push(
          call(other, {path, key: String(index % 5)}),
          call(other, {path: POPULAR_PATH}),
          ...(options.otherPaths ?? []).map(otherPath =>
            call(other, {path: otherPath}),
          ),
        );
      }
      replaceCrashed();
      await timers.sleep(REQUEST_INTERVAL_MS);
    }
    return Promise.all(answers);
  }

  return {
    harness,
    gateways,
    targets: () => targets,
    setCrash,
    play,
    crashingArrivals,
    stop: async () => {
      for (const handle of handles) {
        handle.cancel();
      }
      await harness.stop();
    },
  };
}

/** Whether the request is one of those that `play` sends to crash targets. */
export function isCrashingAttempt(attemptId: string): boolean {
  return attemptId.startsWith(CRASHING_ATTEMPT);
}
