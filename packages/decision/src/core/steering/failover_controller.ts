/** Starts and ends failovers, based on membership views and peer messages. */
import type {MembershipView, RegionName, VmId} from '../model/index.js';
import {type Failover, computeFullRampMs} from '../shifts/index.js';
import {listRegionPeers, selectSyncPeers} from './peer_groups.js';
import type {SteeringState} from './state.js';

export interface FailoverController {
  handleViewChanged(view: MembershipView): void;
  tick(): void;
  /** Merges a failover announced by a peer. */
  mergeAnnouncedFailover(from: VmId, failover: Failover): void;
  /** Sends the known failovers to a VM that has started. */
  answerStartedVm(to: VmId): void;
}

const PEERS_PER_REGION = 2;

export function createFailoverController(
  state: SteeringState,
): FailoverController {
  const {context, failovers} = state;
  /** When peers were asked for a running failover, by silent region. */
  const queriedAtMs = new Map<RegionName, number>();

  function handleViewChanged(view: MembershipView): void {
    const {nowMs, wallMs} = context.time();
    for (const region of view.silentRegions) {
      const running = failovers.get(region);
      const active = running && running.endedAtWallMs === undefined;
      if (active || queriedAtMs.has(region) || view.selfDoubt) {
        continue;
      }
      queriedAtMs.set(region, nowMs);
      for (const peer of selectSyncPeers(context, PEERS_PER_REGION)) {
        context.send(peer, {kind: 'failovers-wanted'});
      }
      context.wakeAt(nowMs + context.parameters.failoverAnswerTimeoutMs);
    }
    for (const region of [...queriedAtMs.keys()]) {
      if (!view.silentRegions.has(region)) {
        queriedAtMs.delete(region);
      }
    }
    for (const failover of failovers.all()) {
      if (!view.silentRegions.has(failover.from)) {
        endFailover(failover.from, wallMs);
      }
    }
  }

  function endFailover(region: RegionName, wallMs: number): void {
    const ended = failovers.end(region, wallMs);
    if (ended) {
      context.note({kind: 'failover-ended', from: region});
      announce(ended, selectSyncPeers(context, PEERS_PER_REGION));
    }
  }

  function tick(): void {
    const {nowMs, wallMs} = context.time();
    const {failoverAnswerTimeoutMs} = context.parameters;
    for (const [region, atMs] of queriedAtMs) {
      const running = failovers.get(region);
      const active = running && running.endedAtWallMs === undefined;
      if (active) {
        queriedAtMs.delete(region);
      } else if (nowMs - atMs >= failoverAnswerTimeoutMs) {
        queriedAtMs.delete(region);
        startFailover(region, wallMs);
      }
    }
    failovers.expire(wallMs, slowestRampMs());
  }

  function startFailover(region: RegionName, wallMs: number): void {
    const failover = failovers.start(region, wallMs, fastestRampMs());
    noteStart(failover);
    announce(failover, selectSyncPeers(context, PEERS_PER_REGION));
  }

  function noteStart(failover: Failover): void {
    context.note({
      kind: 'failover-started',
      from: failover.from,
      startedAtWallMs: failover.startedAtWallMs,
    });
  }

  function announce(failover: Failover, peers: readonly VmId[]): void {
    for (const peer of peers) {
      context.send(peer, {kind: 'failover-known', ...failover});
    }
  }

  function mergeAnnouncedFailover(from: VmId, failover: Failover): void {
    const before = failovers.get(failover.from);
    if (!failovers.merge(failover)) {
      return;
    }
    const adopted = failovers.get(failover.from)!;
    if (before?.startedAtWallMs !== adopted.startedAtWallMs) {
      noteStart(adopted);
    }
    const sender = context.configuration()?.entryVms.get(from);
    if (sender?.region !== context.region) {
      announce(adopted, listRegionPeers(context));
    }
  }

  function fastestRampMs(): number {
    return Math.min(...rampTimes());
  }

  function slowestRampMs(): number {
    return Math.max(...rampTimes());
  }

  function rampTimes(): readonly number[] {
    const times: number[] = [];
    for (const services of context.configuration()?.workspaces.values() ?? []) {
      for (const {policy} of services.values()) {
        times.push(
          computeFullRampMs(policy.shift, context.parameters.capUtilization),
        );
      }
    }
    return times.length === 0 ? [0] : times;
  }

  return {
    handleViewChanged,
    tick,
    mergeAnnouncedFailover,
    answerStartedVm: to => {
      for (const failover of failovers.all()) {
        announce(failover, [to]);
      }
    },
  };
}
