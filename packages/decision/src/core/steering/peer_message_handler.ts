/** Passes messages of other VMs to the parts that they concern. */
import {assertNever} from '../model/index.js';
import type {ServiceName, VmId} from '../model/index.js';
import {serveQueue} from './admissions.js';
import {crashReported} from './crash_reports.js';
import type {EarlierLives} from './earlier_lives.js';
import type {FailoverWatch} from './failover_watch.js';
import type {SteeringPeerMessage} from './peer_messages.js';
import type {SlotLending} from './slot_lending.js';
import type {SteeringState} from './state.js';
import {targetLeaving} from './target_signs.js';

export interface PeerMessageParts {
  readonly lending: SlotLending;
  readonly failoverWatch: FailoverWatch;
  readonly earlierLives: EarlierLives;
}

export interface PeerMessageHandler {
  handle(from: VmId, message: SteeringPeerMessage): void;
}

export function createPeerMessageHandler(
  state: SteeringState,
  parts: PeerMessageParts,
): PeerMessageHandler {
  const {lending, failoverWatch, earlierLives} = parts;

  function handle(from: VmId, message: SteeringPeerMessage): void {
    switch (message.kind) {
      case 'slots-wanted':
        lending.wanted(from, message.ask, message.service, message.slots);
        return;
      case 'slots-granted':
        lending.granted(
          from,
          message.ask,
          message.service,
          message.slots,
          message.leaseMs,
        );
        servePool(message.service);
        return;
      case 'slots-returned':
        lending.returned(from, message.ask, message.service);
        return;
      case 'target-leaving':
        targetLeaving(state, message.target, 'peer');
        return;
      case 'crash-suspected':
        crashReported(
          state,
          message.fingerprint,
          message.targets,
          message.ageMs,
        );
        return;
      case 'quarantine-lifted':
        state.suspicions.lift(message.fingerprint);
        return;
      case 'failover-known':
        failoverWatch.adopt(from, {
          from: message.from,
          startedAtWallMs: message.startedAtWallMs,
          endedAtWallMs: message.endedAtWallMs,
        });
        return;
      case 'failovers-wanted':
        failoverWatch.answer(from);
        earlierLives.answer(from, message.incarnation);
        answerSuspicions(from);
        return;
      case 'start-answer':
        earlierLives.answered(from, message);
        return;
      case 'pool-load':
        state.peers.heard(from, message.pools, state.context.time().nowMs);
        return;
      default:
        assertNever(message);
    }
  }

  function servePool(service: ServiceName): void {
    const pool = state.pools.get(service);
    if (pool) {
      serveQueue(state, pool);
      state.touchedPools.add(pool);
    }
  }

  /** A VM that has started must not run what crashed targets before. */
  function answerSuspicions(to: VmId): void {
    const {nowMs} = state.context.time();
    for (const suspicion of state.suspicions.recent()) {
      state.context.send(to, {
        kind: 'crash-suspected',
        fingerprint: suspicion.fingerprint,
        targets: suspicion.targets,
        ageMs: Math.max(0, nowMs - suspicion.lastLossMs),
      });
    }
  }

  return {handle};
}
