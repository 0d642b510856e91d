/**
 * One view of the entry VMs from the platform's list, heartbeats and links.
 *
 * A VM is live unless somebody says otherwise. The VMs that keep a link to it
 * suspect it when it falls silent; it contradicts them by a higher revision.
 * Suspicion becomes `gone` only by the platform's list. What is other than
 * live spreads with the heartbeats, a bounded number of updates in each.
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
  FAR_BEAT_FACTOR,
  createRegionAges,
  silentAfterMs,
} from './region_ages.js';
import {createSelfWatch} from './pause_detector.js';
import {listUpdates} from './platform_list.js';
import type {
  ListedVm,
  Membership,
  MembershipAction,
  MembershipEvent,
  MembershipOptions,
} from './types.js';

/** News does not wait for the next heartbeat, but goes no faster than this. */
const NEWS_INTERVAL_MS = 200;
/** Of longer lists the readers take as many bytes a second, so read rarer. */
const FULL_RATE_LIST_VMS = 100;
/** How long a VM may be behind before that is told to others. */
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
  const selfWatch = createSelfWatch(
    heartbeatIntervalMs / 2,
    suspectAfterMs / 2,
  );
  let regionSilentAfterMs = suspectAfterMs;
  let regions: readonly RegionName[] = [];
  let revision = options.startedAtSeconds;
  let leaving = false;
  let generation: Generation | undefined;
  let generationTold: Generation | undefined;
  let newestHeard = -1;
  let behindSinceMs: number | undefined;
  let doubtUntilMs = 0;
  let doubting = false;
  let everHeard = false;
  let startedAtMs = 0;
  let nextListMs = 0;
  let signature = '';
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

  /** Says something of this VM anew, so that it counts over what was said. */
  function raiseRevision(to = revision + 1): void {
    revision = to;
    peers.spread(self);
  }

  function mergeUpdate(update: VmUpdate, from?: VmId): void {
    const [vm] = update;
    if (vm === self) {
      contradict(update);
      return;
    }
    const before = records.get(vm)?.state;
    const result = records.merge(update);
    if (result === 'outdated' && from !== undefined) {
      peers.get(from)?.pending.add(vm);
    }
    if (result !== 'news') {
      return;
    }
    peers.spread(vm, from);
    const record = records.get(vm)!;
    if (record.state !== before) {
      const {state, incarnation} = record;
      actions.push({
        kind: 'note',
        note: {kind: 'vm-state-changed', vm, state, incarnation},
      });
    }
  }

  /** Outbids what others say of this VM when it is not so. */
  function contradict(update: VmUpdate): void {
    const [, incarnation, theirs, state] = update;
    const ours = incarnation === options.incarnation && state === ownState();
    if (theirs < revision || (theirs === revision && ours)) {
      return;
    }
    raiseRevision(theirs + 1);
  }

  function takeBeat(from: VmId, beat: Heartbeat, nowMs: number): void {
    const peer = peers.of(from, nowMs);
    peer.lastHeardMs = nowMs;
    peer.linked = true;
    everHeard = true;
    newestHeard = Math.max(newestHeard, beat.generation ?? -1);
    const record = records.get(from);
    if (record) {
      regionAges.heard(record.region, nowMs);
    }
    const state = beat.leaving ? 'leaving' : 'live';
    const {incarnation = null, generation: theirs = null} = beat;
    mergeUpdate([from, incarnation, beat.revision, state, theirs], from);
    regionAges.take(beat.regions ?? [], nowMs);
    for (const update of beat.updates ?? []) {
      mergeUpdate(update, from);
    }
    peer.differs = beat.digest !== records.digest();
  }

  function sendBeat(to: VmId, peer: PeerState, nowMs: number): void {
    const isFirst = peer.lastSentMs === Number.NEGATIVE_INFINITY;
    peer.lastSentMs = nowMs;
    regionAges.heard(options.region, nowMs);
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

  /** Beats go to peers that this VM wants, or that beat to it. */
  function sendBeats(nowMs: number): void {
    for (const [vm, peer] of peers.entries()) {
      const heard = nowMs - peer.lastHeardMs <= suspectAfterMs;
      if (!peer.linked || !(heard || planner.wanted().has(vm))) {
        continue;
      }
      const sinceMs = nowMs - peer.lastSentMs;
      if (sinceMs >= beatIntervalMs(vm, peer)) {
        sendBeat(vm, peer, nowMs);
      }
    }
  }

  function beatIntervalMs(vm: VmId, peer: PeerState): number {
    if (peer.pending.size > 0) {
      return Math.min(NEWS_INTERVAL_MS, heartbeatIntervalMs);
    }
    const near = records.get(vm)?.region === options.region;
    return near ? heartbeatIntervalMs : heartbeatIntervalMs * FAR_BEAT_FACTOR;
  }

  function checkSelf(nowMs: number): void {
    if (selfWatch.tick(nowMs)) {
      doubtUntilMs = nowMs + suspectAfterMs;
      peers.forgiveSilence(nowMs);
      planner.restartTerms(nowMs);
    }
    const paused = nowMs < doubtUntilMs;
    const alone = isAlone(nowMs);
    if ((paused || alone) === doubting) {
      return;
    }
    doubting = paused || alone;
    const cause = doubtCause(paused, alone);
    actions.push({kind: 'note', note: {kind: 'self-doubt', doubting, cause}});
  }

  /** Whether all the peers that should be heard are silent. */
  function isAlone(nowMs: number): boolean {
    const sinceMs = nowMs - suspectAfterMs;
    const starting = !everHeard && startedAtMs >= sinceMs;
    if (planner.wanted().size === 0 || starting) {
      return false;
    }
    return !peers.heardSince(sinceMs);
  }

  /** A VM that doubts itself accuses nobody. */
  function accuseSilentNeighbours(nowMs: number): void {
    if (doubting) {
      return;
    }
    for (const [vm, wantedSinceMs] of planner.wanted()) {
      const record = records.get(vm);
      const heardMs = peers.get(vm)?.lastHeardMs ?? wantedSinceMs;
      const silentMs = nowMs - Math.max(heardMs, wantedSinceMs);
      const accusable =
        record?.region === options.region &&
        (record.state === 'live' || record.state === 'leaving');
      if (accusable && silentMs > suspectAfterMs) {
        const [, incarnation, known, , theirs] = records.updateOf(vm)!;
        mergeUpdate([vm, incarnation, known, 'suspect', theirs]);
      }
    }
  }

  function configure(entryVms: Iterable<EntryVm>, nowMs: number): void {
    records.configure(entryVms);
    planner.review(nowMs, peers.isLinked);
    regions = planner.regions();
    regionAges.configure(regions);
    regionSilentAfterMs = silentAfterMs(
      records.size(),
      regions.length,
      heartbeatIntervalMs,
      suspectAfterMs,
    );
    tick(nowMs);
  }

  /** Tells all when this VM has been behind for a while, and when no more. */
  function tellIfBehind(nowMs: number): void {
    const ours = generation ?? -1;
    if (ours >= newestHeard) {
      behindSinceMs = undefined;
    } else {
      behindSinceMs ??= nowMs;
    }
    const longBehind =
      behindSinceMs !== undefined && nowMs - behindSinceMs > BEHIND_AFTER_MS;
    const caughtUp = generationTold !== undefined && ours >= newestHeard;
    if (longBehind && generationTold !== generation) {
      generationTold = generation;
      raiseRevision();
    } else if (caughtUp) {
      generationTold = undefined;
      raiseRevision();
    }
  }

  /** Only a region's delegates read the platform's list. */
  function listIfDue(nowMs: number): void {
    if (nowMs < nextListMs || !planner.isDelegate()) {
      return;
    }
    const scale = Math.max(1, records.size() / FULL_RATE_LIST_VMS);
    nextListMs = nowMs + options.listIntervalMs * scale;
    actions.push({kind: 'list-vms'});
  }

  function takeList(listed: readonly ListedVm[], nowMs: number): void {
    const silent = silentRegions(nowMs);
    for (const update of listUpdates(records, listed, self, silent)) {
      mergeUpdate(update);
    }
  }

  function silentRegions(nowMs: number): ReadonlySet<RegionName> {
    const silent = new Set<RegionName>();
    for (const region of regions) {
      const heardMs = regionAges.lastHeardMs(region) ?? startedAtMs;
      if (region !== options.region && nowMs - heardMs > regionSilentAfterMs) {
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
      const place = {vm, region, zone};
      if (vm === self) {
        const {incarnation} = options;
        vms.set(vm, {...place, incarnation, state: ownState(), generation});
        continue;
      }
      const unheard = silent.has(region) && record.state !== 'gone';
      vms.set(vm, {
        ...place,
        incarnation: record.incarnation,
        state: unheard ? 'suspect' : record.state,
        generation: record.generation,
        lastHeardMs: peers.get(vm)?.lastHeardMs,
      });
    }
    return {atMs: nowMs, vms, silentRegions: silent, selfDoubt: doubting};
  }

  function publishIfChanged(nowMs: number): void {
    const silent = [...silentRegions(nowMs)].join(' ');
    const next = `${records.changes()} ${leaving} ${doubting} ${silent}`;
    if (next !== signature) {
      signature = next;
      actions.push({kind: 'view-changed', view: view(nowMs)});
    }
  }

  function tick(nowMs: number): void {
    checkSelf(nowMs);
    accuseSilentNeighbours(nowMs);
    planner.review(nowMs, peers.isLinked);
    const wanted = [...planner.wanted().keys()];
    actions.push({kind: 'links-wanted', peers: wanted});
    tellIfBehind(nowMs);
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
        const peer = peers.of(event.peer, nowMs);
        peer.linked = true;
        peer.lastSentMs = Number.NEGATIVE_INFINITY;
        return;
      }
      case 'peer-disconnected': {
        const peer = peers.of(event.peer, nowMs);
        peer.linked = false;
        peer.pending.clear();
        regionAges.forgetPeer(event.peer);
        return;
      }
      case 'beat':
        takeBeat(event.from, event.beat, nowMs);
        publishIfChanged(nowMs);
        return;
      case 'platform-list':
        takeList(event.vms, nowMs);
        publishIfChanged(nowMs);
        return;
      case 'generation':
        generation = event.generation;
        newestHeard = Math.max(newestHeard, generation);
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
      sendBeats(nowMs);
      return actions;
    },
    view,
  };
}

function doubtCause(paused: boolean, alone: boolean) {
  if (paused) {
    return 'paused';
  }
  return alone ? 'cut-off' : 'over';
}
