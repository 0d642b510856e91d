/**
 * Keeps requests that crash targets from reaching more of them. VMs tell each
 * other which requests a dead target had.
 */
import type {IncomingMessage} from 'node:http';
import {
  createCrashSuspicions,
  createCrashTracker,
  hash32,
  targetId,
} from '@ibisbeam/decision';
import type {Logger, TimerService} from '@ibisbeam/library';

export interface CrashGuard {
  /** Equal at every VM for the same request of the same caller. */
  fingerprint(incoming: IncomingMessage, body: Buffer | undefined): string;
  /** Whether anything is suspected; saves the fingerprint where not. */
  isWatching(): boolean;
  isQuarantined(fingerprint: string): boolean;
  brokeOff(life: string, fingerprint: string): void;
  /** The target refuses connections or has started anew. */
  targetDied(life: string): void;
  answered(fingerprint: string): void;
  /** A peer has seen a target die with the request. */
  heard(fingerprint: string, target: string): void;
}

export interface CrashGuardOptions {
  readonly timers: Pick<TimerService, 'nowMs'>;
  readonly log: Logger;
  tellPeers(fingerprint: string, target: string): void;
}

const QUARANTINE_MS = 60_000;
const LONG_QUARANTINE_MS = 300_000;
const HEXADECIMAL = 16;

export function createCrashGuard(options: CrashGuardOptions): CrashGuard {
  const {timers, log} = options;
  const watch = createCrashTracker();
  const suspicions = createCrashSuspicions({
    quarantineMs: QUARANTINE_MS,
    longQuarantineMs: LONG_QUARANTINE_MS,
  });
  let watching = false;

  function suspect(fingerprint: string, target: string, from: string): void {
    watching = true;
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
        hash32(text).toString(HEXADECIMAL) +
        hash32(`2 ${text}`).toString(HEXADECIMAL)
      );
    },
    isWatching: () => watching,
    isQuarantined: fingerprint =>
      suspicions.state(fingerprint, timers.nowMs()) === 'quarantined',
    brokeOff: (life, fingerprint) =>
      watch.connectionBroken(life, fingerprint, timers.nowMs()),
    targetDied: life => {
      const target = targetName(life);
      for (const fingerprint of watch.crashed(life, timers.nowMs())) {
        suspect(fingerprint, target, 'own');
        options.tellPeers(fingerprint, target);
      }
    },
    answered: fingerprint => suspicions.answered(fingerprint),
    heard: (fingerprint, target) => suspect(fingerprint, target, 'peer'),
  };
}

/** A life in the characters that identifiers allow. */
function targetName(life: string): string {
  return `life-${hash32(life).toString(HEXADECIMAL)}`;
}
