/**
 * Quarantines requests that crash targets. VMs notify each other of the
 * requests that a crashed target was running.
 */
import type {IncomingMessage} from 'node:http';
import {
  createCrashSuspicions,
  createCrashTracker,
  createRecentAnswers,
  hash32,
  targetId,
} from '@ibisbeam/decision';
import type {Logger, TimerService} from '@ibisbeam/library';

export interface CrashGuard {
  /**
   * Equal on all VMs for the same request. A caller may connect from many
   * addresses, so the client's address is no part of it.
   */
  fingerprint(request: CrashGuardRequest): string;
  /**
   * Whether any request has ever been suspected. Until then, no fingerprints
   * need to be computed.
   */
  hasSuspicions(): boolean;
  isQuarantined(fingerprint: string): boolean;
  /** Called when the connection broke during an attempt. */
  recordBrokenConnection(incarnation: string, fingerprint: string): void;
  /** Called when a target is found gone; may be called again for it. */
  recordTargetDeath(incarnation: string, how: TargetDeath): void;
  /** Forgets broken connections that were not the targets' fault. */
  forgetBrokenConnections(): void;
  /** Called when a target has answered a request with a status below 500. */
  answered(fingerprint: string): void;
  /**
   * Called when a peer reports that a target died running the request.
   *
   * @param ageMs Time since the request's connection broke.
   * @returns `answered` if the peer should know that a target has answered the
   *     same request lately.
   */
  recordPeerReport(
    fingerprint: string,
    target: string,
    ageMs: number,
  ): 'suspected' | 'answered';
  /** Called when a peer reports that a target has answered the request. */
  recordPeerAnswer(fingerprint: string): void;
  /** The newest known losses, for a VM that has just connected. */
  recentLosses(): readonly ReportedLoss[];
}

export type TargetDeath =
  /** It refuses connections, and this VM is not the cause. */
  | 'unreachable'
  /** It is no longer listed, or has started anew. */
  | 'removed';

export interface CrashGuardRequest {
  readonly incoming: Pick<IncomingMessage, 'method' | 'url' | 'headers'>;
  readonly body: Buffer | undefined;
}

export interface ReportedLoss {
  readonly fingerprint: string;
  readonly target: string;
  readonly ageMs: number;
}

export interface CrashGuardOptions {
  readonly timers: Pick<TimerService, 'nowMs'>;
  readonly log: Logger;
  /**
   * @param target Name of the lost incarnation, the same on all VMs.
   * @param ageMs Time since the request's connection broke.
   */
  notifyPeers(fingerprint: string, target: string, ageMs: number): void;
  /** Tells peers that a target has answered a request that was suspected. */
  notifyPeersOfAnswer(fingerprint: string): void;
}

const QUARANTINE_MS = 60_000;
const LONG_QUARANTINE_MS = 300_000;
const MAXIMUM_REPORTED = 2_000;
const HEXADECIMAL_RADIX = 16;

export function createCrashGuard(options: CrashGuardOptions): CrashGuard {
  const {timers, log} = options;
  const crashTracker = createCrashTracker();
  const recentAnswers = createRecentAnswers();
  const suspicions = createCrashSuspicions({
    quarantineMs: QUARANTINE_MS,
    longQuarantineMs: LONG_QUARANTINE_MS,
  });
  let anySuspicion = false;

  /** Suspicions that this VM has told to its peers. */
  const reported = new Set<string>();

  function suspect(
    fingerprint: string,
    target: string,
    from: string,
    ageMs: number,
  ): void {
    anySuspicion = true;
    const isNew = suspicions.recordLoss(
      fingerprint,
      targetId(target),
      timers.nowMs() - ageMs,
    );
    if (isNew) {
      log.log('warn', 'crash-suspected', {
        fingerprint,
        target,
        from,
        targetsLost: suspicions.lostTargets(fingerprint).length,
        ageMs: Math.round(ageMs),
      });
    }
  }

  function suspectOwn(
    fingerprint: string,
    target: string,
    ageMs: number,
  ): void {
    if (recentAnswers.has(fingerprint, timers.nowMs())) {
      return;
    }
    suspect(fingerprint, target, 'own', ageMs);
    if (reported.size >= MAXIMUM_REPORTED) {
      reported.clear();
    }
    reported.add(fingerprint);
    options.notifyPeers(fingerprint, target, ageMs);
  }

  /** Returns whether the request was suspected. */
  function recordAnswer(fingerprint: string): boolean {
    recentAnswers.record(fingerprint, timers.nowMs());
    return suspicions.recordResponse(fingerprint);
  }

  /**
   * Suspects the requests that this VM had at the target.
   *
   * @returns How many there were.
   */
  function recordCrash(target: string, atMs: number): number {
    const suspects = crashTracker.recordCrash(target, atMs);
    for (const broken of suspects) {
      const ageMs = timers.nowMs() - broken.brokenAtMs;
      suspectOwn(broken.fingerprint, target, ageMs);
    }
    return suspects.length;
  }

  return {
    fingerprint: ({incoming, body}) => {
      const {method, url, headers} = incoming;
      const host = headers.host?.toLowerCase() ?? '';
      const text = `${method} ${host} ${url} ${body?.toString('latin1') ?? ''}`;
      return (
        hash32(text).toString(HEXADECIMAL_RADIX) +
        hash32(`2 ${text}`).toString(HEXADECIMAL_RADIX)
      );
    },
    hasSuspicions: () => anySuspicion,
    isQuarantined: fingerprint =>
      suspicions.stateOf(fingerprint, timers.nowMs()) === 'quarantined',
    recordBrokenConnection: (incarnation, fingerprint) => {
      const target = targetNameOf(incarnation);
      const nowMs = timers.nowMs();
      if (crashTracker.recordBrokenConnection(target, fingerprint, nowMs)) {
        suspectOwn(fingerprint, target, 0);
      }
    },
    recordTargetDeath: (incarnation, how) => {
      const target = targetNameOf(incarnation);
      const suspects = recordCrash(target, timers.nowMs());
      log.log('info', 'target-died', {incarnation, target, how, suspects});
    },
    forgetBrokenConnections: crashTracker.clear,
    answered: fingerprint => {
      if (recordAnswer(fingerprint)) {
        reported.delete(fingerprint);
        options.notifyPeersOfAnswer(fingerprint);
      }
    },
    recordPeerAnswer: fingerprint => {
      // Only the VMs that spread the suspicion pass the answer on.
      if (recordAnswer(fingerprint) && reported.delete(fingerprint)) {
        options.notifyPeersOfAnswer(fingerprint);
      }
    },
    recordPeerReport: (fingerprint, target, ageMs) => {
      // This VM may send the target nothing more, and not notice the crash.
      recordCrash(target, timers.nowMs() - ageMs);
      if (recentAnswers.has(fingerprint, timers.nowMs())) {
        return 'answered';
      }
      suspect(fingerprint, target, 'peer', ageMs);
      return 'suspected';
    },
    recentLosses: () =>
      suspicions.recent().flatMap(({fingerprint, targets, lastLossMs}) =>
        targets.map(target => ({
          fingerprint,
          target,
          ageMs: Math.max(0, timers.nowMs() - lastLossMs),
        })),
      ),
  };
}

/** Encodes an incarnation in the characters allowed in identifiers. */
function targetNameOf(incarnation: string): string {
  return `life-${hash32(incarnation).toString(HEXADECIMAL_RADIX)}`;
}
