/**
 * Keeps the runs of targets whose end is not known. The end of an attempt is
 * not the end of its run: a connection may break, a caller may leave or a
 * deadline may pass while the target goes on. A run stays unsettled until its
 * target shows that it outlived it, or is found dead. Then the run may be the
 * cause.
 */

/** One request at one target. */
export interface TargetRun {
  /** Name of the target's incarnation. */
  readonly target: string;
  readonly sentAtMs: number;
  /** Time from then on until its answer is expected, if nothing is cached. */
  readonly expectedMs: number;
  /** When the target stops work on it by itself, at the latest. */
  readonly givesUpAtMs: number;
  /** Computed on demand, since few runs are ever suspected. */
  fingerprint(): string;
}

/** A run under which its target may have died. */
export interface FatalRun {
  readonly fingerprint: string;
  readonly target: string;
  /** When the target showed a sign of life last. */
  readonly fromMs: number;
  /** When the target was dead at the latest. */
  readonly untilMs: number;
}

/** A run that its target has outlived. */
export interface SurvivedRun {
  readonly durationMs: number;
  fingerprint(): string;
}

export interface LedgerSweep {
  /** Runs without an end at targets that are dead. */
  readonly fatal: readonly FatalRun[];
  /** Some of the targets that have been silent for long; a probe would tell. */
  readonly silentTargets: readonly string[];
}

export interface RunLedger {
  /**
   * One of the methods that record its end must follow.
   *
   * @param isNewConnection Whether the target has just taken the connection.
   */
  start(run: TargetRun, isNewConnection: boolean): void;
  /** The target has answered. Returns all runs that it thereby outlived. */
  recordAnswer(run: TargetRun, nowMs: number): readonly SurvivedRun[];
  /** The target has refused the request without running it. */
  recordRefusal(run: TargetRun, nowMs: number): readonly SurvivedRun[];
  /** The connection broke. Returns the run if the target is known to be dead. */
  recordBreak(run: TargetRun, nowMs: number): FatalRun | undefined;
  /** The attempt was ended here. Returns the run as `recordBreak` does. */
  recordCancel(run: TargetRun, nowMs: number): FatalRun | undefined;
  /** Nothing can be told of the run. */
  discard(run: TargetRun): void;
  /**
   * Records that the target was found dead.
   *
   * @param deadByMs When it was dead at the latest.
   */
  recordDeath(target: string, deadByMs: number): readonly FatalRun[];
  /** Whether a run of the request is unsettled. */
  hasUnsettledRun(fingerprint: string): boolean;
  /** Number of attempts that have ended while their runs are unsettled. */
  unsettledCount(): number;
  /** Call it at short intervals. */
  sweep(nowMs: number): LedgerSweep;
  /** Forgets all runs; no later break or cancellation of them counts. */
  clear(): void;
}

interface EndedRun {
  readonly fingerprint: string;
  readonly kind: 'broken' | 'cancelled';
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** When the run was over at the latest. */
  readonly overByMs: number;
}

interface TargetState {
  /** When it answered or took a connection last. */
  aliveAtMs: number;
  deadByMs: number | undefined;
  reportedSilentAtMs: number;
  readonly open: Set<TargetRun>;
  readonly ended: EndedRun[];
}

/** A death is laid to a run only if it is found this soon after its end. */
const FATAL_WINDOW_MS = 5_000;
/** Bytes of an answer may be read some time after the target's death. */
const READ_DELAY_MS = 100;
/** Open runs of a dead target that stays silent for longer are fatal. */
const SILENCE_OF_DEAD_MS = 300;
/** Time without a sign of a target after the end of an attempt at it. */
const CANCELLED_SILENCE_MS = 200;
/**
 * Time without a sign of a target while an attempt at it waits: a multiple of
 * the time in which the answer is expected, within bounds. The upper one leaves
 * time to tell peers of a crash.
 */
const OPEN_SILENCE_FACTOR = 1.25;
const MINIMUM_OPEN_SILENCE_MS = 1_000;
const MAXIMUM_OPEN_SILENCE_MS = 3_000;
const SILENCE_REPORT_INTERVAL_MS = 500;
/** Bounds the probes while all targets are slow. */
const MAXIMUM_SILENT_TARGETS = 2;
/** Ended runs kept for one target; the oldest is dropped. */
const MAXIMUM_ENDED_RUNS = 64;

export function createRunLedger(): RunLedger {
  const states = new Map<string, TargetState>();

  function stateOf(target: string): TargetState {
    const known = states.get(target);
    if (known) {
      return known;
    }
    const state: TargetState = {
      aliveAtMs: -Infinity,
      deadByMs: undefined,
      reportedSilentAtMs: -Infinity,
      open: new Set(),
      ended: [],
    };
    states.set(target, state);
    return state;
  }

  /** Returns the target's state if the run is open, and closes the run. */
  function close(run: TargetRun): TargetState | undefined {
    const state = states.get(run.target);
    return state?.open.delete(run) ? state : undefined;
  }

  /**
   * The process that got a request before another run was over, and answers
   * after that, has outlived the other run.
   */
  function settle(
    state: TargetState,
    {sentAtMs}: TargetRun,
    nowMs: number,
  ): SurvivedRun[] {
    state.aliveAtMs = nowMs;
    state.deadByMs = undefined;
    const survived: SurvivedRun[] = [];
    const unsettled: EndedRun[] = [];
    for (const run of state.ended) {
      const isOutlived =
        sentAtMs <= run.overByMs && nowMs > run.overByMs + READ_DELAY_MS;
      if (isOutlived) {
        const durationMs = run.overByMs - run.sentAtMs;
        survived.push({durationMs, fingerprint: () => run.fingerprint});
      } else {
        unsettled.push(run);
      }
    }
    state.ended.splice(0, state.ended.length, ...unsettled);
    return survived;
  }

  function isFatal(run: EndedRun, deadByMs: number): boolean {
    return (
      run.sentAtMs <= deadByMs &&
      Math.abs(deadByMs - run.overByMs) <= FATAL_WINDOW_MS
    );
  }

  function fatalRun(
    target: string,
    {aliveAtMs}: TargetState,
    run: EndedRun,
    deadByMs: number,
  ): FatalRun {
    const {fingerprint} = run;
    if (run.kind === 'broken') {
      const brokeAtMs = run.endedAtMs;
      return {fingerprint, target, fromMs: brokeAtMs, untilMs: brokeAtMs};
    }
    const knownAliveAtMs = Math.max(aliveAtMs, run.sentAtMs - FATAL_WINDOW_MS);
    const fromMs = Math.min(knownAliveAtMs, deadByMs);
    return {fingerprint, target, fromMs, untilMs: deadByMs};
  }

  function recordEnd(
    run: TargetRun,
    kind: EndedRun['kind'],
    endedAtMs: number,
    overByMs: number,
  ): FatalRun | undefined {
    const {target, sentAtMs} = run;
    const state = close(run);
    if (!state) {
      return undefined;
    }
    const fingerprint = run.fingerprint();
    const ended = {fingerprint, kind, sentAtMs, endedAtMs, overByMs};
    const {deadByMs} = state;
    if (deadByMs !== undefined && isFatal(ended, deadByMs)) {
      return fatalRun(target, state, ended, deadByMs);
    }
    state.ended.push(ended);
    if (state.ended.length > MAXIMUM_ENDED_RUNS) {
      state.ended.shift();
    }
    return undefined;
  }

  function recordDeath(target: string, deadByMs: number): readonly FatalRun[] {
    const state = stateOf(target);
    state.deadByMs = Math.min(deadByMs, state.deadByMs ?? deadByMs);
    const diedAtMs = state.deadByMs;
    const fatal: FatalRun[] = [];
    for (const run of state.ended.splice(0)) {
      if (isFatal(run, diedAtMs)) {
        fatal.push(fatalRun(target, state, run, diedAtMs));
      }
    }
    return fatal;
  }

  /** The runs that were open when the target died, once it stays silent. */
  function takeOpenRuns(
    target: string,
    state: TargetState,
    nowMs: number,
  ): FatalRun[] {
    const {deadByMs, aliveAtMs} = state;
    if (
      deadByMs === undefined ||
      nowMs - Math.max(deadByMs, aliveAtMs) < SILENCE_OF_DEAD_MS
    ) {
      return [];
    }
    const fatal: FatalRun[] = [];
    for (const run of state.open) {
      if (run.sentAtMs > deadByMs) {
        continue;
      }
      state.open.delete(run);
      const ended: EndedRun = {
        fingerprint: run.fingerprint(),
        kind: 'cancelled',
        sentAtMs: run.sentAtMs,
        endedAtMs: nowMs,
        overByMs: run.givesUpAtMs,
      };
      if (isFatal(ended, deadByMs)) {
        fatal.push(fatalRun(target, state, ended, deadByMs));
      }
    }
    return fatal;
  }

  function isSilent(state: TargetState, nowMs: number): boolean {
    if (
      state.deadByMs !== undefined ||
      nowMs - state.reportedSilentAtMs < SILENCE_REPORT_INTERVAL_MS
    ) {
      return false;
    }
    const {aliveAtMs} = state;
    for (const {kind, endedAtMs} of state.ended) {
      const silentMs = nowMs - Math.max(endedAtMs, aliveAtMs);
      if (kind === 'cancelled' && silentMs > CANCELLED_SILENCE_MS) {
        return true;
      }
    }
    for (const run of state.open) {
      const silentMs = nowMs - Math.max(run.sentAtMs, aliveAtMs);
      if (silentMs > openSilenceMs(run)) {
        return true;
      }
    }
    return false;
  }

  /** Takes those that were taken longest ago. */
  function takeSilent(
    silent: [string, TargetState][],
    nowMs: number,
  ): readonly string[] {
    silent.sort(
      ([, one], [, other]) => one.reportedSilentAtMs - other.reportedSilentAtMs,
    );
    const taken = silent.slice(0, MAXIMUM_SILENT_TARGETS);
    for (const [, state] of taken) {
      state.reportedSilentAtMs = nowMs;
    }
    return taken.map(([target]) => target);
  }

  function dropOldRuns(state: TargetState, nowMs: number): void {
    const recent = state.ended.filter(
      ({overByMs}) => nowMs - overByMs <= FATAL_WINDOW_MS,
    );
    state.ended.splice(0, state.ended.length, ...recent);
  }

  function isOver(state: TargetState, nowMs: number): boolean {
    const {deadByMs} = state;
    return (
      state.open.size === 0 &&
      state.ended.length === 0 &&
      nowMs - state.aliveAtMs > FATAL_WINDOW_MS &&
      (deadByMs === undefined || nowMs - deadByMs > FATAL_WINDOW_MS)
    );
  }

  return {
    start: (run, isNewConnection) => {
      const state = stateOf(run.target);
      state.open.add(run);
      if (isNewConnection) {
        state.aliveAtMs = run.sentAtMs;
      }
    },
    recordAnswer: (run, nowMs) => {
      const state = stateOf(run.target);
      // It is not open if it was taken for fatal.
      state.open.delete(run);
      const durationMs = nowMs - run.sentAtMs;
      const own: SurvivedRun = {durationMs, fingerprint: run.fingerprint};
      return [own, ...settle(state, run, nowMs)];
    },
    recordRefusal: (run, nowMs) => {
      const state = stateOf(run.target);
      state.open.delete(run);
      return settle(state, run, nowMs);
    },
    recordBreak: (run, nowMs) => recordEnd(run, 'broken', nowMs, nowMs),
    recordCancel: (run, nowMs) =>
      recordEnd(run, 'cancelled', nowMs, Math.max(nowMs, run.givesUpAtMs)),
    discard: run => {
      close(run);
    },
    recordDeath,
    hasUnsettledRun: fingerprint => {
      for (const {open, ended} of states.values()) {
        for (const run of open) {
          if (run.fingerprint() === fingerprint) {
            return true;
          }
        }
        if (ended.some(run => run.fingerprint === fingerprint)) {
          return true;
        }
      }
      return false;
    },
    unsettledCount: () => {
      let count = 0;
      for (const {ended} of states.values()) {
        count += ended.length;
      }
      return count;
    },
    sweep: nowMs => {
      const fatal: FatalRun[] = [];
      const silent: [string, TargetState][] = [];
      for (const [target, state] of states) {
        fatal.push(...takeOpenRuns(target, state, nowMs));
        dropOldRuns(state, nowMs);
        if (isSilent(state, nowMs)) {
          silent.push([target, state]);
        }
        if (isOver(state, nowMs)) {
          states.delete(target);
        }
      }
      return {fatal, silentTargets: takeSilent(silent, nowMs)};
    },
    clear: () => states.clear(),
  };
}

function openSilenceMs({expectedMs}: TargetRun): number {
  return Math.min(
    MAXIMUM_OPEN_SILENCE_MS,
    Math.max(MINIMUM_OPEN_SILENCE_MS, expectedMs * OPEN_SILENCE_FACTOR),
  );
}
