/**
 * Quarantines requests that crash targets. VMs notify each other of the
 * requests that a dead target was running, and of those that targets outlive.
 */
import type {IncomingMessage} from 'node:http';
import {
  type CrashVerdict,
  type FatalRun,
  type RunRate,
  type SurvivedRun,
  type SurvivedRunsReport,
  type TargetLoss,
  type TargetRun,
  createCrashEvidence,
  createPartwiseHash,
  createRunLedger,
  hash32,
  rankByRendezvous,
} from '@ibisbeam/decision';
import type {Logger, TimerService} from '@ibisbeam/library';

export interface CrashGuard {
  /**
   * Equal on all VMs for the same request. A caller may connect from many
   * addresses, so the client's address is no part of it.
   */
  fingerprint(request: CrashGuardRequest): string;
  /** Follows a request that a target has got; one end must be recorded. */
  follow(run: FollowedRun): RunRecorder;
  /**
   * Whether any request has ever been suspected. Until then, no fingerprints
   * need to be computed.
   */
  hasSuspicions(): boolean;
  /** Whether a target died while it ran the request, and none outlived it. */
  isDoubtful(fingerprint: string): boolean;
  /** @param service The service that would run the request. */
  verdictOf(fingerprint: string, service: string): CrashVerdict;
  /**
   * Whether this VM may run a contained request to find out more. The VMs of the
   * fleet take turns, since each test may cost a target, and a request may come
   * to all of them at once.
   */
  mayTest(fingerprint: string): boolean;
  /**
   * Called when a target is found gone; may be called again for it.
   *
   * @param atMs When it was gone at the latest; default: now.
   */
  recordTargetDeath(incarnation: string, how: TargetDeath, atMs?: number): void;
  /** Forgets runs that did not end by the targets' fault. */
  forgetRuns(): void;
  /** Called when a peer reports that a target died running the request. */
  recordPeerLoss(loss: ReportedLoss): void;
  /**
   * Called when a peer reports that targets have outlived a suspected request.
   *
   * @param rate Undefined if the peer does not tell it.
   */
  recordPeerSurvivedRuns(
    peer: string,
    fingerprint: string,
    rate: RunRate | undefined,
  ): void;
  /** What a VM that has just connected has to know. */
  reports(): CrashReports;
  /** Number of runs whose attempts have ended and whose end is not known. */
  unsettledRuns(): number;
  /** Call it at short intervals. */
  update(): void;
}

export type TargetDeath =
  /** It refuses connections, and this VM is not the cause. */
  | 'unreachable'
  /** It is no longer listed, or has started anew. */
  | 'vanished'
  /** As `vanished`, after it had said that it would leave. */
  | 'left';

export interface CrashGuardRequest {
  readonly incoming: Pick<IncomingMessage, 'method' | 'url' | 'headers'>;
  readonly body: Buffer | undefined;
}

export interface FollowedRun {
  readonly incarnation: string;
  /** Time until the answer is expected, if nothing is cached. */
  readonly expectedMs: number;
  /** When the target stops work on the request by itself. */
  readonly givesUpAtMs: number;
  /** Computed only on demand. */
  fingerprint(): string;
  /** Whether the fingerprint is cheap to compute. */
  readonly isCheap: boolean;
  /** Whether the target has just taken the connection. */
  readonly isNewConnection: boolean;
}

/** Only the first call has an effect. */
export interface RunRecorder {
  answered(): void;
  /** The target has not run the request. */
  refused(): void;
  /** The connection broke, or brought something other than the answer. */
  broke(): void;
  /** This VM has ended the attempt. The target may go on. */
  cancelled(): void;
  /** Nothing can be told of the run. */
  discard(): void;
}

/** Ages and spans in milliseconds. */
export interface ReportedLoss {
  readonly fingerprint: string;
  /** Name of the lost incarnation, the same on all VMs. */
  readonly target: string;
  /** Time since the target was dead at the latest. */
  readonly ageMs: number;
  /** Length of the time in which it died; 0 if the moment is known. */
  readonly spanMs: number;
  /** Deaths at about the time of the request's losses, with or without it. */
  readonly deaths: number;
}

export interface CrashReports {
  readonly losses: readonly ReportedLoss[];
  readonly survived: readonly SurvivedRunsReport[];
}

export interface CrashGuardOptions {
  /** This VM. */
  readonly self: string;
  readonly timers: Pick<TimerService, 'nowMs'>;
  readonly log: Logger;
  /** Identifiers of the VMs that run, with this one. */
  liveVms(): readonly string[];
  /** Number of targets of the service. */
  targetCount(service: string): number;
  /** Finds out whether a target that has been silent is gone. */
  probe(incarnation: string): void;
  notifyPeersOfLoss(loss: ReportedLoss): void;
  /** Tells peers that targets have outlived a request that was suspected. */
  notifyPeersOfSurvival(report: SurvivedRunsReport): void;
}

/** Time in which one VM may test a contained request. */
const TEST_TURN_MS = 1_000;
const QUARANTINE_MS = 60_000;
const LONG_QUARANTINE_MS = 300_000;
/** Assumed of peers that say only that a target has answered the request. */
const UNSTATED_RATE: RunRate = {runsPerSecond: 1, msPerSecond: 1_000};
/** Time between two reports of survived runs of one request. */
const SURVIVAL_REPORT_INTERVAL_MS = 1_000;
const MAXIMUM_REPORTED = 2_000;
const TEXT_PART_BYTES = 65_536;
const HEXADECIMAL_RADIX = 16;

export function createCrashGuard(options: CrashGuardOptions): CrashGuard {
  const {timers, log} = options;
  const ledger = createRunLedger();
  const evidence = createCrashEvidence({
    self: options.self,
    quarantineMs: QUARANTINE_MS,
    longQuarantineMs: LONG_QUARANTINE_MS,
  });
  const incarnations = new Map<string, string>();
  /** When this VM last told what its targets outlived, by request. */
  const survivalToldAtMs = new Map<string, number>();
  /** Requests whose quarantine has been logged. */
  const quarantined = new Set<string>();
  /** Targets that are listed and have been found gone. */
  const knownDeaths = new Set<string>();
  let anySuspicion = false;

  function recordLoss(loss: TargetLoss, from: 'own' | 'peer'): void {
    anySuspicion = true;
    const nowMs = timers.nowMs();
    const isNew = evidence.recordLoss(loss, nowMs);
    const {fingerprint, target, fromMs, untilMs} = loss;
    if (isNew) {
      log.log('warn', 'crash-suspected', {
        fingerprint,
        target,
        from,
        targetsLost: evidence.countLosses(fingerprint),
        ageMs: Math.round(nowMs - untilMs),
        spanMs: Math.round(untilMs - fromMs),
      });
    }
    // Losses alone would look like those of a request that is never answered.
    tellSurvival(fingerprint);
    if (from === 'own' && isNew) {
      options.notifyPeersOfLoss(reportOf(loss));
    }
  }

  function reportOf({
    fingerprint,
    target,
    fromMs,
    untilMs,
  }: TargetLoss): ReportedLoss {
    return {
      fingerprint,
      target,
      ageMs: Math.max(0, timers.nowMs() - untilMs),
      spanMs: untilMs - fromMs,
      deaths: evidence.countDeaths(fingerprint),
    };
  }

  function tellSurvival(fingerprint: string): void {
    const nowMs = timers.nowMs();
    const toldAtMs = survivalToldAtMs.get(fingerprint) ?? -Infinity;
    const rate = evidence.ownSurvivedRuns(fingerprint, nowMs);
    const isDue = nowMs - toldAtMs >= SURVIVAL_REPORT_INTERVAL_MS;
    if (rate.runsPerSecond === 0 || !isDue) {
      return;
    }
    if (survivalToldAtMs.size >= MAXIMUM_REPORTED) {
      survivalToldAtMs.clear();
    }
    survivalToldAtMs.set(fingerprint, nowMs);
    options.notifyPeersOfSurvival({fingerprint, vm: options.self, ...rate});
  }

  function recordSurvived(runs: readonly SurvivedRun[]): void {
    for (const run of runs) {
      const fingerprint = run.fingerprint();
      evidence.recordSurvivedRun(fingerprint, run.durationMs, timers.nowMs());
      if (evidence.countLosses(fingerprint) > 0) {
        tellSurvival(fingerprint);
      }
    }
  }

  function recordOwnLoss(run: FatalRun | undefined): void {
    if (run) {
      recordLoss(run, 'own');
    }
  }

  function follow(followed: FollowedRun): RunRecorder {
    const target = targetNameOf(followed.incarnation);
    const run: TargetRun = {
      target,
      sentAtMs: timers.nowMs(),
      expectedMs: followed.expectedMs,
      givesUpAtMs: followed.givesUpAtMs,
      fingerprint: followed.fingerprint,
    };
    incarnations.set(target, followed.incarnation);
    ledger.start(run, followed.isNewConnection);

    function recordAlive(): void {
      knownDeaths.delete(target);
      evidence.recordTargetAlive(target, run.sentAtMs);
    }

    let hasEnded = false;

    /** Runs `record` unless an end has been recorded. */
    function endOnce(record: () => void): void {
      if (!hasEnded) {
        hasEnded = true;
        record();
      }
    }

    function recordAnswer(): void {
      const [own, ...others] = ledger.recordAnswer(run, timers.nowMs());
      recordAlive();
      recordSurvived(others);
      if (own && (followed.isCheap || anySuspicion)) {
        recordSurvived([own]);
      }
    }

    function recordRefusal(): void {
      recordSurvived(ledger.recordRefusal(run, timers.nowMs()));
      recordAlive();
    }

    return {
      answered: () => endOnce(recordAnswer),
      refused: () => endOnce(recordRefusal),
      broke: () =>
        endOnce(() => recordOwnLoss(ledger.recordBreak(run, timers.nowMs()))),
      cancelled: () =>
        endOnce(() => recordOwnLoss(ledger.recordCancel(run, timers.nowMs()))),
      discard: () => endOnce(() => ledger.discard(run)),
    };
  }

  /** Returns the number of this VM's requests that the target may have died of. */
  function recordDeath(target: string, atMs: number): number {
    const fatal = ledger.recordDeath(target, atMs);
    for (const run of fatal) {
      recordLoss(run, 'own');
    }
    return fatal.length;
  }

  function verdictOf(fingerprint: string, service: string): CrashVerdict {
    const {verdict, sinceThirdLossMs, chanceShare, ...findings} =
      evidence.judge(fingerprint, options.targetCount(service), timers.nowMs());
    if (verdict !== 'crashes-targets') {
      quarantined.delete(fingerprint);
      return verdict;
    }
    if (!quarantined.has(fingerprint)) {
      quarantined.add(fingerprint);
      log.log('warn', 'request-quarantined', {
        fingerprint,
        service,
        ...findings,
        chanceShare: Number(chanceShare.toFixed(3)),
        sinceThirdLossMs:
          sinceThirdLossMs === undefined
            ? undefined
            : Math.round(sinceThirdLossMs),
      });
    }
    return verdict;
  }

  function mayTest(fingerprint: string): boolean {
    if (ledger.hasUnsettledRun(fingerprint)) {
      return false;
    }
    const sinceMs = evidence.sinceLastLossMs(fingerprint, timers.nowMs());
    const turn = Math.max(0, Math.floor(sinceMs / TEST_TURN_MS));
    const ranked = rankByRendezvous(fingerprint, options.liveVms());
    return ranked[turn % ranked.length] === options.self;
  }

  function update(): void {
    const nowMs = timers.nowMs();
    const {fatal, silentTargets} = ledger.sweep(nowMs);
    for (const run of fatal) {
      recordLoss(run, 'own');
    }
    for (const target of silentTargets) {
      const incarnation = incarnations.get(target);
      if (incarnation !== undefined) {
        options.probe(incarnation);
      }
    }
    evidence.expire(nowMs);
  }

  return {
    fingerprint: ({incoming, body}) => {
      const {method, url, headers} = incoming;
      const host = headers.host?.toLowerCase() ?? '';
      const start = `${method} ${host} ${url} `;
      const hashes = [start, `2 ${start}`].map(text => {
        const hash = createPartwiseHash();
        hash.add(text);
        return hash;
      });
      for (const part of textParts(body)) {
        for (const hash of hashes) {
          hash.add(part);
        }
      }
      return hashes
        .map(hash => hash.digest().toString(HEXADECIMAL_RADIX))
        .join('');
    },
    follow,
    hasSuspicions: () => anySuspicion,
    isDoubtful: fingerprint =>
      evidence.countLosses(fingerprint) > 0 &&
      evidence.survivedRuns(fingerprint, timers.nowMs()).length === 0,
    verdictOf,
    mayTest,
    recordTargetDeath: (incarnation, how, atMs = timers.nowMs()) => {
      const target = targetNameOf(incarnation);
      const suspects = recordDeath(target, atMs);
      if (how !== 'left') {
        evidence.recordDeath(target, atMs);
      }
      if (suspects > 0 || !knownDeaths.has(target)) {
        log.log('info', 'target-died', {incarnation, target, how, suspects});
      }
      if (how === 'unreachable') {
        knownDeaths.add(target);
      } else {
        knownDeaths.delete(target);
        incarnations.delete(target);
      }
    },
    forgetRuns: ledger.clear,
    recordPeerLoss: ({fingerprint, target, ageMs, spanMs, deaths}) => {
      const untilMs = timers.nowMs() - ageMs;
      // This VM may send the target nothing more, and not notice the crash.
      recordDeath(target, untilMs);
      evidence.recordDeath(target, untilMs);
      const fromMs = untilMs - spanMs;
      const deathsKnown = deaths;
      recordLoss({fingerprint, target, fromMs, untilMs, deathsKnown}, 'peer');
    },
    recordPeerSurvivedRuns: (peer, fingerprint, rate = UNSTATED_RATE) =>
      evidence.recordPeerSurvivedRuns(peer, fingerprint, rate),
    reports: () => {
      const losses = evidence.gravestLosses();
      const fingerprints = new Set(losses.map(({fingerprint}) => fingerprint));
      const nowMs = timers.nowMs();
      return {
        losses: losses.map(reportOf),
        survived: [...fingerprints].flatMap(fingerprint =>
          evidence.survivedRuns(fingerprint, nowMs),
        ),
      };
    },
    unsettledRuns: ledger.unsettledCount,
    update,
  };
}

/** The bytes as Latin-1 text in UTF-8, in parts that take little memory. */
function* textParts(body: Buffer | undefined): Iterable<Uint8Array> {
  const byteCount = body?.length ?? 0;
  for (let from = 0; body && from < byteCount; from += TEXT_PART_BYTES) {
    const to = Math.min(byteCount, from + TEXT_PART_BYTES);
    yield Buffer.from(body.toString('latin1', from, to), 'utf8');
  }
}

/** Encodes an incarnation in the characters allowed in identifiers. */
function targetNameOf(incarnation: string): string {
  return `life-${hash32(incarnation).toString(HEXADECIMAL_RADIX)}`;
}
