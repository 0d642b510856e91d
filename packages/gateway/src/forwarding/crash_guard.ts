/**
 * Keeps requests that crash targets from reaching more of them. VMs tell each
 * other which requests a dead target had.
 */
import type {IncomingMessage} from 'node:http';
import {
  createCrashSuspicions,
  createCrashWatch,
  hash32,
  targetId,
} from '@ibisbeam/decision';
import type {Logger, TimerService} from '@ibisbeam/library';

export interface CrashGuard {
  /** Equal at every VM for the same request of the same caller. */
  fingerprint(incoming: IncomingMessage, body: Buffer | undefined): string;
  /** Whether anything is suspected; saves the fingerprint where not. */
  hasSuspicions(): boolean;
  isQuarantined(fingerprint: string): boolean;
  connectionBroken(incarnation: string, fingerprint: string): void;
  /** The target refuses connections or has started anew. */
  targetDied(incarnation: string): void;
  answered(fingerprint: string): void;
  /** A peer has seen a target die with the request. */
  peerReported(fingerprint: string, target: string): void;
}

export interface CrashGuardOptions {
  readonly timers: Pick<TimerService, 'nowMs'>;
  readonly log: Logger;
  notifyPeers(fingerprint: string, target: string): void;
}

const QUARANTINE_MS = 60_000;
const LONG_QUARANTINE_MS = 300_000;
const HEXADECIMAL_RADIX = 16;

export function createCrashGuard(options: CrashGuardOptions): CrashGuard {
  const {timers, log} = options;
  const watch = createCrashWatch();
  const suspicions = createCrashSuspicions({
    quarantineMs: QUARANTINE_MS,
    longQuarantineMs: LONG_QUARANTINE_MS,
  });
  let anySuspicion = false;

  function suspect(fingerprint: string, target: string, from: string): void {
    anySuspicion = true;
    const isNew = suspicions.targetLost(
      fingerprint,
      targetId(target),
      timers.nowMs(),
    );
    if (isNew) {
      log.log('warn', 'crash-suspected', {
        fingerprint,
        target,
        from,
        targetsLost: suspicions.targetsLost(fingerprint).length,
      });
    }
  }

  return {
    fingerprint: (incoming, body) => {
      const {method, url, socket} = incoming;
      const caller = socket.remoteAddress ?? '';
      const text = `${method} ${url} ${caller} ${body?.toString('latin1') ?? ''}`;
      return (
        hash32(text).toString(HEXADECIMAL_RADIX) +
        hash32(`2 ${text}`).toString(HEXADECIMAL_RADIX)
      );
    },
    hasSuspicions: () => anySuspicion,
    isQuarantined: fingerprint =>
      suspicions.state(fingerprint, timers.nowMs()) === 'quarantined',
    connectionBroken: (incarnation, fingerprint) =>
      watch.brokeOff(incarnation, fingerprint, timers.nowMs()),
    targetDied: incarnation => {
      const target = targetNameOf(incarnation);
      for (const fingerprint of watch.died(incarnation, timers.nowMs())) {
        suspect(fingerprint, target, 'own');
        options.notifyPeers(fingerprint, target);
      }
    },
    answered: fingerprint => suspicions.answered(fingerprint),
    peerReported: (fingerprint, target) => suspect(fingerprint, target, 'peer'),
  };
}

/** A life in the characters that identifiers allow. */
function targetNameOf(incarnation: string): string {
  return `life-${hash32(incarnation).toString(HEXADECIMAL_RADIX)}`;
}
