/** Dispatches messages from other VMs. */
import {assertNever} from '../model/index.js';
import type {ServiceName, VmId} from '../model/index.js';
import {serveQueue} from './admissions.js';
import {handleCrashReport} from './crash_reports.js';
import type {StartRecovery} from './start_recovery.js';
import type {FailoverController} from './failover_controller.js';
import type {SteeringPeerMessage} from './peer_messages.js';
import type {SlotLending} from './slot_lending.js';
import type {SteeringState} from './state.js';
import {handleTargetLeaving} from './leaving_targets.js';

export interface PeerMessageHandlerDependencies {
  readonly slotLending: SlotLending;
  readonly failoverController: FailoverController;
  readonly startRecovery: StartRecovery;
}

export interface PeerMessageHandler {
  handle(from: VmId, message: SteeringPeerMessage): void;
}

export function createPeerMessageHandler(
  state: SteeringState,
  dependencies: PeerMessageHandlerDependencies,
): PeerMessageHandler {
  const {slotLending, failoverController, startRecovery} = dependencies;

  function handle(from: VmId, message: SteeringPeerMessage): void {
    switch (message.kind) {
      case 'slots-wanted':
        slotLending.handleSlotsWanted(
          from,
          message.ask,
          message.service,
          message.slots,
        );
        return;
      case 'slots-granted':
        slotLending.handleSlotsGranted(
          from,
          message.ask,
          message.service,
          message.slots,
          message.leaseMs,
        );
        servePool(message.service);
        return;
      case 'slots-returned':
        slotLending.handleSlotsReturned(from, message.ask, message.service);
        return;
      case 'target-leaving':
        handleTargetLeaving(state, message.target, 'peer');
        return;
      case 'crash-suspected':
        handleCrashReport(
          state,
          message.fingerprint,
          message.targets,
          message.ageMs,
        );
        return;
      case 'quarantine-lifted':
        state.crashSuspicions.lift(message.fingerprint);
        return;
      case 'failover-known':
        failoverController.mergeAnnouncedFailover(from, {
          from: message.from,
          startedAtWallMs: message.startedAtWallMs,
          endedAtWallMs: message.endedAtWallMs,
        });
        return;
      case 'failovers-wanted':
        failoverController.answerStartedVm(from);
        startRecovery.answerStartedVm(from, message.incarnation);
        sendSuspicions(from);
        return;
      case 'start-answer':
        startRecovery.handleStartAnswer(from, message);
        return;
      case 'pool-load':
        state.peerLoads.recordLoads(
          from,
          message.pools,
          state.context.time().nowMs,
        );
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

  /** Keeps a started VM from running requests that have crashed targets. */
  function sendSuspicions(to: VmId): void {
    const {nowMs} = state.context.time();
    for (const suspicion of state.crashSuspicions.recent()) {
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
