/**
 * Targets that die during a soak: under a request that crashes them, or many at
 * once for another reason. Others take their places, as on the users' platform.
 */
import {createRandomSource, hash32} from '@ibisbeam/decision';
import type {TimerHandle, TimerService} from '@ibisbeam/library';
import type {
  CrashingRequest,
  FleetTarget,
  StandInObjectStore,
} from '@ibisbeam/stand-ins';
import type {GatewayProcess} from './gateway_process.js';
import {CRASH_PATH, type LoadGenerator} from './load_generator.js';
import type {CrashingRun} from './records.js';

export interface DyingTargets {
  /** Lets the target crash under the crashing request. */
  arm(target: FleetTarget): void;
  /** Starts sending requests that crash targets. */
  start(): void;
  stop(): void;
  isGone(target: FleetTarget): boolean;
  /** When targets died, by target. */
  deaths(): ReadonlyMap<string, number>;
  /** Targets that took the places of others. */
  readonly replacements: readonly FleetTarget[];
  crashingRuns(): readonly CrashingRun[];
}

export interface DyingTargetsOptions {
  readonly seed: number;
  readonly timers: TimerService;
  readonly store: StandInObjectStore;
  readonly vms: readonly GatewayProcess[];
  readonly load: LoadGenerator;
  startTarget(id: string, index: number): Promise<FleetTarget>;
  recordEvent(text: string): void;
}

const CALL_INTERVAL_MS = 250;
const CALL_INTERVAL_RANGE_MS = 250;
const PATIENT_MS = 1_200;
/** The caller leaves while the target works. */
const IMPATIENT_MS = 12;
/** The mass death comes within this time. */
const MASS_DEATH_RANGE_MS = 8_000;
const MASS_DEATHS = 4;
/** A dead target stays in the list until its heartbeats are missed. */
const LISTED_MS = 4_000;
const REPLACEMENT_DELAY_MS = 1_500;
const CHECK_INTERVAL_MS = 100;

export function createDyingTargets(options: DyingTargetsOptions): DyingTargets {
  const {timers, store, vms, load, recordEvent} = options;
  // The first numbers drawn from neighbouring seeds are alike.
  const seedText = `dying targets ${options.seed}`;
  const random = createRandomSource(hash32(seedText));
  const crash: CrashingRequest = {
    path: CRASH_PATH,
    connections: random.below(2) === 0 ? 'break' : 'hang',
    outlivesConnection: random.below(2) === 0,
  };
  const patienceMs = random.below(2) === 0 ? PATIENT_MS : IMPATIENT_MS;
  const armed: FleetTarget[] = [];
  const replacements: FleetTarget[] = [];
  const goneAtMs = new Map<FleetTarget, number>();
  const handles: TimerHandle[] = [];
  let callTimer: TimerHandle | undefined;

  function arm(target: FleetTarget): void {
    target.setCrashingRequest(crash);
    armed.push(target);
  }

  function scheduleCall(): void {
    const delayMs = CALL_INTERVAL_MS + random.below(CALL_INTERVAL_RANGE_MS);
    callTimer = timers.after(delayMs, () => {
      const vm = vms[random.below(vms.length)];
      if (vm) {
        load.sendCrashing(vm, patienceMs);
      }
      scheduleCall();
    });
  }

  function killMany(): void {
    const living = armed.filter(target => !goneAtMs.has(target));
    const dying = living.slice(0, MASS_DEATHS);
    const how = random.below(2) === 0 ? 'break off' : 'fall silent';
    recordEvent(`${dying.map(({id}) => id).join(', ')} ${how}`);
    for (const target of dying) {
      if (how === 'break off') {
        void target.close();
      } else {
        target.fallSilent();
      }
      takeAway(target);
    }
  }

  function takeAway(target: FleetTarget): void {
    goneAtMs.set(target, timers.nowMs());
    const index = goneAtMs.size;
    handles.push(
      timers.after(REPLACEMENT_DELAY_MS, () => {
        void replace(index);
      }),
    );
  }

  async function replace(index: number): Promise<void> {
    const target = await options.startTarget(`replacement-${index}`, index);
    replacements.push(target);
    arm(target);
  }

  /** A restored store may list a target again that is gone. */
  function check(): void {
    const nowMs = timers.nowMs();
    for (const target of armed) {
      if (target.crashedAtMs() !== undefined && !goneAtMs.has(target)) {
        recordEvent(`${target.id} crashes`);
        takeAway(target);
      }
    }
    for (const [target, atMs] of goneAtMs) {
      if (nowMs - atMs > LISTED_MS) {
        store.remove('servers', target.id);
      }
    }
  }

  return {
    arm,
    start: () => {
      recordEvent(
        `a request crashes targets: connections ${crash.connections}, caller waits ${patienceMs} ms, targets go on without it: ${crash.outlivesConnection}`,
      );
      scheduleCall();
      handles.push(
        timers.every(CHECK_INTERVAL_MS, check),
        timers.after(random.below(MASS_DEATH_RANGE_MS), killMany),
      );
    },
    stop: () => {
      callTimer?.cancel();
      for (const handle of handles) {
        handle.cancel();
      }
    },
    isGone: target => goneAtMs.has(target),
    deaths: () =>
      new Map(
        // Crashes are noticed some time later.
        [...goneAtMs].map(([target, noticedAtMs]) => [
          target.id,
          target.crashedAtMs() ?? noticedAtMs,
        ]),
      ),
    replacements,
    crashingRuns: () =>
      armed.flatMap(target =>
        target.runs
          .filter(({path}) => path === CRASH_PATH)
          .map(({attemptId, atMs}) => ({
            attemptId,
            target: target.id,
            atMs,
            crashedAtMs: target.crashedAtMs(),
          })),
      ),
  };
}
