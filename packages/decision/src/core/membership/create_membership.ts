/**
 * Membership of the entry VMs, from the platform's VM list, heartbeats and
 * links.
 *
 * A VM is live unless reported otherwise. The VMs that keep a link to it
 * suspect it when its heartbeats stop; it refutes the suspicion with a higher
 * revision. Only the platform's list turns a suspicion into `gone`. Changes of
 * state are disseminated with the heartbeats, a bounded number in each.
 */
import {
  type EntryVm,
  type Generation,
  type MembershipView,
  type RegionName,
  type VmId,
  type VmState,
  type VmView,
  assertNever,
} from '../model/index.js';
import {createLinkPlanner} from './link_planner.js';
import type {Heartbeat, VmUpdate} from './peer_messages.js';
import {type PeerState, createPeerTable} from './peer_table.js';
import {createVmRecords} from './records.js';
import {
  CROSS_REGION_INTERVAL_FACTOR,
  createRegionAges,
  computeRegionSilenceTimeoutMs,
} from './region_ages.js';
import {createPauseDetector} from './pause_detector.js';
import {updatesFromList} from './platform_list.js';
import type {
  ListedVm,
  Membership,
  MembershipAction,
  MembershipEvent,
  MembershipOptions,
} from './types.js';

/** Interval of heartbeats to a peer while updates for it are queued. */
const MINIMUM_UPDATE_INTERVAL_MS = 200;
/**
 * Above this many VMs the list is read less often, so that the bytes read per
 * second stay constant.
 */
const FULL_RATE_LIST_VMS = 100;
/** Time behind the newest generation after which a VM announces its own. */
const BEHIND_AFTER_MS = 5_000;

export function createMembership(options: MembershipOptions): Membership {
  const {vm: self, heartbeatIntervalMs, suspectAfterMs} = options;
  const records = createVmRecords();
  const peers = createPeerTable(records, updateOf);
  const planner = createLinkPlanner(
    {vm: self, region: options.region, retryAfterMs: suspectAfterMs},
    records,
  );
  const regionAges = createRegionAges(heartbeatIntervalMs);
  const pauseDetector = createPauseDetector(
    heartbeatIntervalMs / 2,
    suspectAfterMs / 2,
  );
  let regionSilenceTimeoutMs = suspectAfterMs;
  let regions: readonly RegionName[] = [];
  let revision = options.startedAtSeconds;
  let leaving = false;
  let generation: Generation | undefined;
  let announcedGeneration: Generation | undefined;
  let newestHeardGeneration = -1;
  let behindSinceMs: number | undefined;
  let pausedUntilMs = 0;
  let doubting = false;
  let hasHeardPeer = false;
  let startedAtMs = 0;
  let nextListMs = 0;
  let publishedViewKey = '';
  let actions: MembershipAction[] = [];

  function ownState(): VmState {
    return leaving ? 'leaving' : 'live';
  }

  function updateOf(vm: VmId): VmUpdate | undefined {
    if (vm !== self) {
      return records.updateOf(vm);
    }
    const {incarnation} = options;
    return [self, incarnation, revision, ownState(), generation ?? null];
  }

  /** Makes the state of this VM override every earlier update about it. */
  function raiseRevision(to = revision + 1): void {
    revision = to;
    peers.queueUpdate(self);
  }

  function mergeUpdate(update: VmUpdate, from?: VmId): void {
    const [vm] = update;
    if (vm === self) {
      refute(update);
      return;
    }
    const before = records.get(vm)?.state;
    const result = records.merge(update);
    if (result === 'outdated' && from !== undefined) {
      peers.get(from)?.pendingUpdates.add(vm);
    }
    if (result !== 'news') {
      return;
    }
    peers.queueUpdate(vm, from);
    const record = records.get(vm)!;
    if (record.state !== before) {
      const {state, incarnation} = record;
      actions.push({
        kind: 'note',
        note: {kind: 'vm-state-changed', vm, state, incarnation},
      });
    }
  }

  /** Raises the revision if an update about this VM is wrong. */
  function refute(update: VmUpdate): void {
    const [, incarnation, theirRevision, state] = update;
    const isCurrent =
      incarnation === options.incarnation && state === ownState();
    if (theirRevision < revision || (theirRevision === revision && isCurrent)) {
      return;
    }
    raiseRevision(theirRevision + 1);
  }

  function handleHeartbeat(from: VmId, beat: Heartbeat, nowMs: number): void {
    const peer = peers.getOrCreate(from, nowMs);
    peer.lastHeardMs = nowMs;
    peer.linked = true;
    hasHeardPeer = true;
    newestHeardGeneration = Math.max(
      newestHeardGeneration,
      beat.generation ?? -1,
    );
    const record = records.get(from);
    if (record) {
      regionAges.recordHeard(record.region, nowMs);
    }
    const state = beat.leaving ? 'leaving' : 'live';
    const {incarnation = null, generation: theirGeneration = null} = beat;
    mergeUpdate(
      [from, incarnation, beat.revision, state, theirGeneration],
      from,
    );
    regionAges.mergeAges(beat.regions ?? [], nowMs);
    for (const update of beat.updates ?? []) {
      mergeUpdate(update, from);
    }
    peer.digestDiffers = beat.digest !== records.digest();
  }

  function sendHeartbeat(to: VmId, peer: PeerState, nowMs: number): void {
    const isFirst = peer.lastSentMs === Number.NEGATIVE_INFINITY;
    peer.lastSentMs = nowMs;
    regionAges.recordHeard(options.region, nowMs);
    const ages = regionAges.agesFor(to, regions.length, nowMs);
    const updates = peers.takeUpdates(peer);
    const beat: Heartbeat = {
      kind: 'beat',
      ...(isFirst ? {incarnation: options.incarnation} : {}),
      revision,
      ...(leaving ? {leaving} : {}),
      ...(generation === undefined ? {} : {generation}),
      ...(ages.length > 0 ? {regions: ages} : {}),
      ...(updates.length > 0 ? {updates} : {}),
      digest: records.digest(),
    };
    actions.push({kind: 'send', to, beat});
  }

  /** Sends due heartbeats to wanted peers and to peers heard from recently. */
  function sendHeartbeats(nowMs: number): void {
    for (const [vm, peer] of peers.entries()) {
      const heard = nowMs - peer.lastHeardMs <= suspectAfterMs;
      if (!peer.linked || !(heard || planner.wantedPeers().has(vm))) {
        continue;
      }
      const sinceMs = nowMs - peer.lastSentMs;
      if (sinceMs >= intervalToPeerMs(vm, peer)) {
        sendHeartbeat(vm, peer, nowMs);
      }
    }
  }

  function intervalToPeerMs(vm: VmId, peer: PeerState): number {
    if (peer.pendingUpdates.size > 0) {
      return Math.min(MINIMUM_UPDATE_INTERVAL_MS, heartbeatIntervalMs);
    }
    const sameRegion = records.get(vm)?.region === options.region;
    return sameRegion
      ? heartbeatIntervalMs
      : heartbeatIntervalMs * CROSS_REGION_INTERVAL_FACTOR;
  }

  function checkSelf(nowMs: number): void {
    if (pauseDetector.tick(nowMs)) {
      pausedUntilMs = nowMs + suspectAfterMs;
      peers.resetLastHeard(nowMs);
      planner.restartSilenceTimers(nowMs);
    }
    const paused = nowMs < pausedUntilMs;
    const isolated = isIsolated(nowMs);
    if ((paused || isolated) === doubting) {
      return;
    }
    doubting = paused || isolated;
    const cause = selfDoubtCause(paused, isolated);
    actions.push({kind: 'note', note: {kind: 'self-doubt', doubting, cause}});
  }

  /** Whether this VM should hear peers but hears none. */
  function isIsolated(nowMs: number): boolean {
    const sinceMs = nowMs - suspectAfterMs;
    const starting = !hasHeardPeer && startedAtMs >= sinceMs;
    if (planner.wantedPeers().size === 0 || starting) {
      return false;
    }
    return !peers.hasHeardSince(sinceMs);
  }

  /** A VM that was itself paused or isolated suspects no other VM. */
  function suspectSilentNeighbours(nowMs: number): void {
    if (doubting) {
      return;
    }
    for (const [vm, wantedSinceMs] of planner.wantedPeers()) {
      const record = records.get(vm);
      const heardMs = peers.get(vm)?.lastHeardMs ?? wantedSinceMs;
      const silentMs = nowMs - Math.max(heardMs, wantedSinceMs);
      const eligible =
        record?.region === options.region &&
        (record.state === 'live' || record.state === 'leaving');
      if (eligible && silentMs > suspectAfterMs) {
        const [, incarnation, theirRevision, , theirGeneration] =
          records.updateOf(vm)!;
        mergeUpdate([
          vm,
          incarnation,
          theirRevision,
          'suspect',
          theirGeneration,
        ]);
      }
    }
  }

  function configure(entryVms: Iterable<EntryVm>, nowMs: number): void {
    records.configure(entryVms);
    planner.updateWantedPeers(nowMs, peers.isLinked);
    regions = planner.regions();
    regionAges.configure(regions);
    regionSilenceTimeoutMs = computeRegionSilenceTimeoutMs(
      records.size(),
      regions.length,
      heartbeatIntervalMs,
      suspectAfterMs,
    );
    tick(nowMs);
  }

  /**
   * Announces the generation of this VM when it has been behind for longer than
   * `BEHIND_AFTER_MS`, and again when it has caught up.
   */
  function announceIfBehind(nowMs: number): void {
    const ownGeneration = generation ?? -1;
    if (ownGeneration >= newestHeardGeneration) {
      behindSinceMs = undefined;
    } else {
      behindSinceMs ??= nowMs;
    }
    const behindTooLong =
      behindSinceMs !== undefined && nowMs - behindSinceMs > BEHIND_AFTER_MS;
    const caughtUp =
      announcedGeneration !== undefined &&
      ownGeneration >= newestHeardGeneration;
    if (behindTooLong && announcedGeneration !== generation) {
      announcedGeneration = generation;
      raiseRevision();
    } else if (caughtUp) {
      announcedGeneration = undefined;
      raiseRevision();
    }
  }

  /** Only the delegates of a region read the platform's list. */
  function listIfDue(nowMs: number): void {
    if (nowMs < nextListMs || !planner.isDelegate()) {
      return;
    }
    const scale = Math.max(1, records.size() / FULL_RATE_LIST_VMS);
    nextListMs = nowMs + options.listIntervalMs * scale;
    actions.push({kind: 'list-vms'});
  }

  function handlePlatformList(
    listed: readonly ListedVm[],
    nowMs: number,
  ): void {
    const silent = silentRegions(nowMs);
    for (const update of updatesFromList(records, listed, self, silent)) {
      mergeUpdate(update);
    }
  }

  function silentRegions(nowMs: number): ReadonlySet<RegionName> {
    const silent = new Set<RegionName>();
    for (const region of regions) {
      const heardMs = regionAges.lastHeardMs(region) ?? startedAtMs;
      if (
        region !== options.region &&
        nowMs - heardMs > regionSilenceTimeoutMs
      ) {
        silent.add(region);
      }
    }
    return silent;
  }

  function view(nowMs: number): MembershipView {
    const silent = silentRegions(nowMs);
    const vms = new Map<VmId, VmView>();
    for (const record of records.all()) {
      const {vm, region, zone} = record;
      const location = {vm, region, zone};
      if (vm === self) {
        const {incarnation} = options;
        vms.set(vm, {...location, incarnation, state: ownState(), generation});
        continue;
      }
      const regionSilent = silent.has(region) && record.state !== 'gone';
      vms.set(vm, {
        ...location,
        incarnation: record.incarnation,
        state: regionSilent ? 'suspect' : record.state,
        generation: record.generation,
        lastHeardMs: peers.get(vm)?.lastHeardMs,
      });
    }
    return {atMs: nowMs, vms, silentRegions: silent, selfDoubt: doubting};
  }

  function publishIfChanged(nowMs: number): void {
    const silent = [...silentRegions(nowMs)].join(' ');
    const next = `${records.changeCount()} ${leaving} ${doubting} ${silent}`;
    if (next !== publishedViewKey) {
      publishedViewKey = next;
      actions.push({kind: 'view-changed', view: view(nowMs)});
    }
  }

  function tick(nowMs: number): void {
    checkSelf(nowMs);
    suspectSilentNeighbours(nowMs);
    planner.updateWantedPeers(nowMs, peers.isLinked);
    const wanted = [...planner.wantedPeers().keys()];
    actions.push({kind: 'links-wanted', peers: wanted});
    announceIfBehind(nowMs);
    listIfDue(nowMs);
    publishIfChanged(nowMs);
  }

  function handle(event: MembershipEvent, nowMs: number): void {
    switch (event.kind) {
      case 'started':
        startedAtMs = nowMs;
        return;
      case 'configured':
        configure(event.entryVms, nowMs);
        return;
      case 'peer-connected': {
        const peer = peers.getOrCreate(event.peer, nowMs);
        peer.linked = true;
        peer.lastSentMs = Number.NEGATIVE_INFINITY;
        return;
      }
      case 'peer-disconnected': {
        const peer = peers.getOrCreate(event.peer, nowMs);
        peer.linked = false;
        peer.pendingUpdates.clear();
        regionAges.forgetPeer(event.peer);
        return;
      }
      case 'beat':
        handleHeartbeat(event.from, event.beat, nowMs);
        publishIfChanged(nowMs);
        return;
      case 'platform-list':
        handlePlatformList(event.vms, nowMs);
        publishIfChanged(nowMs);
        return;
      case 'generation':
        generation = event.generation;
        newestHeardGeneration = Math.max(newestHeardGeneration, generation);
        return;
      case 'stop-began':
        leaving = true;
        raiseRevision();
        publishIfChanged(nowMs);
        return;
      case 'tick':
        tick(nowMs);
        return;
      default:
        assertNever(event);
    }
  }

  return {
    step: (event, nowMs) => {
      actions = [];
      handle(event, nowMs);
      sendHeartbeats(nowMs);
      return actions;
    },
    view,
  };
}

function selfDoubtCause(paused: boolean, isolated: boolean) {
  if (paused) {
    return 'paused';
  }
  return isolated ? 'cut-off' : 'over';
}
