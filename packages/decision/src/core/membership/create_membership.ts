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
import {
  DELEGATES_PER_REGION,
  delegatesOf,
  linkedRegions,
  usableByRegion,
  wantedLinks,
} from './overlay.js';
import {
  type Beat,
  MAXIMUM_UPDATES_PER_BEAT,
  type VmUpdate,
} from './peer_messages.js';
import {type VmRecord, createVmRecords} from './records.js';
import {createRegionAges, regionNewsGrainMs} from './region_ages.js';
import {createSelfWatch} from './self_watch.js';
import type {
  ListedVm,
  Membership,
  MembershipAction,
  MembershipEvent,
  MembershipOptions,
} from './types.js';

/** News does not wait for the next heartbeat, but goes no faster than this. */
const NEWS_INTERVAL_MS = 200;
/** A suspect of the own region is dialled again this often. */
const SUSPECT_PROBE_INTERVAL_MS = 5_000;

interface PeerState {
  linked: boolean;
  lastHeardMs: number;
  lastSentMs: number;
  /** VMs of which this peer has to be told. */
  readonly pending: Set<VmId>;
  /** Whether the peer's digest differed when it was last heard. */
  differs: boolean;
}

export function createMembership(options: MembershipOptions): Membership {
  const {vm: self, heartbeatIntervalMs, suspectAfterMs} = options;
  const records = createVmRecords();
  const regionAges = createRegionAges(heartbeatIntervalMs);
  const selfWatch = createSelfWatch(
    heartbeatIntervalMs / 2,
    suspectAfterMs / 2,
  );
  const peers = new Map<VmId, PeerState>();
  const attempts = new Map<RegionName, {count: number; sinceMs: number}>();
  let wanted: readonly VmId[] = [];
  let wantedSinceMs = new Map<VmId, number>();
  let regions: readonly RegionName[] = [];
  let revision = options.startedAtSeconds;
  let leaving = false;
  let generation: Generation | undefined;
  let doubtUntilMs = 0;
  let doubting = false;
  let everHeard = false;
  let startedAtMs = 0;
  let nextListMs = 0;
  let nextProbeMs = 0;
  let probeIndex = 0;
  let exceptionIndex = 0;
  let signature = '';
  let actions: MembershipAction[] = [];

  function peerOf(vm: VmId, nowMs: number): PeerState {
    let peer = peers.get(vm);
    if (!peer) {
      peer = {
        linked: false,
        lastHeardMs: nowMs,
        lastSentMs: Number.NEGATIVE_INFINITY,
        pending: new Set(),
        differs: false,
      };
      peers.set(vm, peer);
    }
    return peer;
  }

  function spread(vm: VmId, except?: VmId): void {
    for (const [id, peer] of peers) {
      if (id !== except && peer.linked) {
        peer.pending.add(vm);
      }
    }
  }

  function ownUpdate(): VmUpdate {
    const state = leaving ? 'leaving' : 'live';
    return [self, options.incarnation, revision, state, generation ?? null];
  }

  function updateOf(vm: VmId): VmUpdate | undefined {
    return vm === self ? ownUpdate() : records.updateOf(vm);
  }

  function noteState(vm: VmId): void {
    const record = records.get(vm);
    if (record) {
      const {state, incarnation} = record;
      actions.push({
        kind: 'note',
        note: {kind: 'vm-state-changed', vm, state, incarnation},
      });
    }
  }

  function mergeUpdate(update: VmUpdate, from?: VmId): void {
    const [vm] = update;
    if (vm === self) {
      contradict(update);
      return;
    }
    const before = records.get(vm)?.state;
    switch (records.merge(update)) {
      case 'news':
        spread(vm, from);
        if (records.get(vm)?.state !== before) {
          noteState(vm);
        }
        return;
      case 'outdated':
        if (from !== undefined) {
          peers.get(from)?.pending.add(vm);
        }
        return;
      case 'known':
        return;
    }
  }

  /** Outbids what others say of this VM when it is not so. */
  function contradict(update: VmUpdate): void {
    const [, incarnation, theirs, state] = update;
    const ourState: VmState = leaving ? 'leaving' : 'live';
    const ours = incarnation === options.incarnation && state === ourState;
    if (theirs < revision || (theirs === revision && ours)) {
      return;
    }
    revision = theirs + 1;
    spread(self);
  }

  function takeBeat(from: VmId, beat: Beat, nowMs: number): void {
    const peer = peerOf(from, nowMs);
    peer.lastHeardMs = nowMs;
    peer.linked = true;
    everHeard = true;
    const record = records.get(from);
    if (record) {
      regionAges.heard(record.region, nowMs);
    }
    mergeUpdate(
      [
        from,
        beat.incarnation,
        beat.revision,
        beat.leaving ? 'leaving' : 'live',
        beat.generation ?? null,
      ],
      from,
    );
    regionAges.take(beat.regions ?? [], nowMs);
    for (const update of beat.updates ?? []) {
      mergeUpdate(update, from);
    }
    peer.differs = beat.digest !== records.digest();
  }

  /** Updates for one beat: news first, then what the digests differ by. */
  function takeUpdates(peer: PeerState): readonly VmUpdate[] {
    const updates: VmUpdate[] = [];
    for (const vm of peer.pending) {
      if (updates.length >= MAXIMUM_UPDATES_PER_BEAT) {
        return updates;
      }
      peer.pending.delete(vm);
      const update = updateOf(vm);
      if (update) {
        updates.push(update);
      }
    }
    if (peer.differs) {
      addExceptions(updates);
    }
    return updates;
  }

  function addExceptions(updates: VmUpdate[]): void {
    const exceptions = records.exceptions();
    const room = MAXIMUM_UPDATES_PER_BEAT - updates.length;
    const count = Math.min(room, exceptions.length);
    for (let step = 0; step < count; step += 1) {
      exceptionIndex = (exceptionIndex + 1) % exceptions.length;
      updates.push(records.updateOf(exceptions[exceptionIndex]!)!);
    }
  }

  function sendBeat(to: VmId, peer: PeerState, nowMs: number): void {
    peer.lastSentMs = nowMs;
    regionAges.heard(options.region, nowMs);
    const ages = regionAges.agesFor(to, regions.length, nowMs);
    const updates = takeUpdates(peer);
    const beat: Beat = {
      kind: 'beat',
      incarnation: options.incarnation,
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
    const wantedSet = new Set(wanted);
    for (const [vm, peer] of peers) {
      const heard = nowMs - peer.lastHeardMs <= suspectAfterMs;
      if (!peer.linked || !(wantedSet.has(vm) || heard)) {
        continue;
      }
      const sinceMs = nowMs - peer.lastSentMs;
      const hasNews = peer.pending.size > 0;
      if (
        sinceMs >= heartbeatIntervalMs ||
        (hasNews && sinceMs >= NEWS_INTERVAL_MS)
      ) {
        sendBeat(vm, peer, nowMs);
      }
    }
  }

  function checkSelf(nowMs: number): void {
    if (selfWatch.tick(nowMs)) {
      doubtUntilMs = nowMs + suspectAfterMs;
      for (const peer of peers.values()) {
        peer.lastHeardMs = nowMs;
      }
      wantedSinceMs = new Map(wanted.map(vm => [vm, nowMs]));
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
    if (wanted.length === 0) {
      return false;
    }
    if (!everHeard && nowMs - startedAtMs <= suspectAfterMs) {
      return false;
    }
    for (const peer of peers.values()) {
      if (peer.linked && nowMs - peer.lastHeardMs <= suspectAfterMs) {
        return false;
      }
    }
    return true;
  }

  /** A VM that doubts itself accuses nobody. */
  function accuseSilentNeighbours(nowMs: number): void {
    if (doubting) {
      return;
    }
    for (const vm of wanted) {
      const record = records.get(vm);
      const sinceMs = Math.max(
        peers.get(vm)?.lastHeardMs ?? 0,
        wantedSinceMs.get(vm) ?? nowMs,
      );
      if (
        record?.region !== options.region ||
        (record.state !== 'live' && record.state !== 'leaving') ||
        nowMs - sinceMs <= suspectAfterMs
      ) {
        continue;
      }
      mergeUpdate([
        vm,
        record.incarnation ?? null,
        record.revision,
        'suspect',
        record.generation ?? null,
      ]);
    }
  }

  function takeList(listed: readonly ListedVm[]): void {
    const byVm = new Map(listed.map(entry => [entry.vm, entry]));
    for (const record of [...records.all()]) {
      if (record.vm === self) {
        continue;
      }
      const entry = byVm.get(record.vm);
      if (entry?.state === 'leaving') {
        markLeaving(record, entry);
      }
      // The list lags: it ends a suspicion, but contradicts no heartbeat.
      const replaced =
        entry !== undefined &&
        record.incarnation !== undefined &&
        entry.incarnation !== record.incarnation;
      if (record.state === 'suspect' && (!entry || replaced)) {
        mergeUpdate([
          record.vm,
          record.incarnation ?? null,
          record.revision,
          'gone',
          record.generation ?? null,
        ]);
      }
    }
  }

  function markLeaving(record: VmRecord, entry: ListedVm): void {
    const same =
      record.incarnation === undefined ||
      record.incarnation === entry.incarnation;
    if (record.state === 'live' && same) {
      mergeUpdate([
        record.vm,
        entry.incarnation,
        record.revision,
        'leaving',
        record.generation ?? null,
      ]);
    }
  }

  function configure(entryVms: Iterable<EntryVm>): void {
    records.configure(entryVms);
    const found = new Set<RegionName>();
    for (const record of records.all()) {
      found.add(record.region);
    }
    regions = [...found];
  }

  /** Tries the next VM of a region when the one wanted does not answer. */
  function attemptFor(region: RegionName): number {
    return attempts.get(region)?.count ?? 0;
  }

  function reviewAttempts(nowMs: number): void {
    for (const region of linkedRegions(regions, options.region)) {
      const linked = wanted.some(
        vm =>
          records.get(vm)?.region === region && peers.get(vm)?.linked === true,
      );
      const attempt = attempts.get(region);
      if (!attempt || linked) {
        const count = attempt?.count ?? 0;
        attempts.set(region, {count, sinceMs: nowMs});
      } else if (nowMs - attempt.sinceMs > suspectAfterMs) {
        attempts.set(region, {count: attempt.count + 1, sinceMs: nowMs});
      }
    }
  }

  function reviewLinks(nowMs: number): void {
    reviewAttempts(nowMs);
    const links = new Set(
      wantedLinks(
        {vm: self, region: options.region},
        records.all(),
        attemptFor,
      ),
    );
    const probe = suspectToProbe(nowMs);
    if (probe !== undefined) {
      links.add(probe);
    }
    const before = wantedSinceMs;
    wanted = [...links].sort();
    wantedSinceMs = new Map(wanted.map(vm => [vm, before.get(vm) ?? nowMs]));
    actions.push({kind: 'links-wanted', peers: wanted});
  }

  function suspectToProbe(nowMs: number): VmId | undefined {
    const suspects: VmId[] = [];
    for (const record of records.all()) {
      if (record.region === options.region && record.state === 'suspect') {
        suspects.push(record.vm);
      }
    }
    if (nowMs >= nextProbeMs) {
      nextProbeMs = nowMs + SUSPECT_PROBE_INTERVAL_MS;
      probeIndex += 1;
    }
    return suspects[probeIndex % Math.max(1, suspects.length)];
  }

  function isDelegate(): boolean {
    const usable = usableByRegion(records.all(), self).get(options.region);
    const place = delegatesOf(options.region, usable ?? []).indexOf(self);
    return place >= 0 && place < DELEGATES_PER_REGION;
  }

  /** Only a region's delegates read the platform's list. */
  function listIfDue(nowMs: number): void {
    if (nowMs < nextListMs || !isDelegate()) {
      return;
    }
    nextListMs = nowMs + options.listIntervalMs;
    actions.push({kind: 'list-vms'});
  }

  /** How long a region may be unheard of: news of it comes over many hops. */
  function silentAfterMs(): number {
    const perRegion =
      Math.ceil([...records.all()].length / Math.max(1, regions.length)) || 1;
    const hops =
      Math.ceil(Math.log(Math.max(2, regions.length)) / Math.log(3)) +
      Math.ceil(Math.sqrt(perRegion) / 2);
    const grainMs = regionNewsGrainMs(regions.length, heartbeatIntervalMs);
    return suspectAfterMs + hops * (heartbeatIntervalMs + grainMs);
  }

  function silentRegions(nowMs: number): ReadonlySet<RegionName> {
    const silent = new Set<RegionName>();
    const afterMs = silentAfterMs();
    for (const region of regions) {
      const heardMs = regionAges.lastHeardMs(region) ?? startedAtMs;
      if (region !== options.region && nowMs - heardMs > afterMs) {
        silent.add(region);
      }
    }
    return silent;
  }

  function viewOf(record: VmRecord, silent: ReadonlySet<RegionName>): VmView {
    const {vm, region, zone} = record;
    if (vm === self) {
      const state = leaving ? 'leaving' : 'live';
      const {incarnation} = options;
      return {vm, region, zone, incarnation, state, generation};
    }
    const state =
      silent.has(region) && record.state !== 'gone' ? 'suspect' : record.state;
    return {
      vm,
      region,
      zone,
      incarnation: record.incarnation,
      state,
      generation: record.generation,
      lastHeardMs: peers.get(vm)?.lastHeardMs,
    };
  }

  function view(nowMs: number): MembershipView {
    const silent = silentRegions(nowMs);
    const vms = new Map<VmId, VmView>();
    for (const record of records.all()) {
      vms.set(record.vm, viewOf(record, silent));
    }
    return {atMs: nowMs, vms, silentRegions: silent, selfDoubt: doubting};
  }

  function publishIfChanged(nowMs: number): void {
    const silent = [...silentRegions(nowMs)].join(' ');
    const next = `${records.changes()} ${leaving} ${doubting} ${silent} ${regions.length}`;
    if (next !== signature) {
      signature = next;
      actions.push({kind: 'view-changed', view: view(nowMs)});
    }
  }

  function tick(nowMs: number): void {
    checkSelf(nowMs);
    accuseSilentNeighbours(nowMs);
    reviewLinks(nowMs);
    listIfDue(nowMs);
    publishIfChanged(nowMs);
  }

  function handle(event: MembershipEvent, nowMs: number): void {
    switch (event.kind) {
      case 'started':
        startedAtMs = nowMs;
        return;
      case 'configured':
        configure(event.entryVms);
        signature = '';
        tick(nowMs);
        return;
      case 'peer-connected': {
        const peer = peerOf(event.peer, nowMs);
        peer.linked = true;
        peer.lastSentMs = Number.NEGATIVE_INFINITY;
        return;
      }
      case 'peer-disconnected': {
        const peer = peerOf(event.peer, nowMs);
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
        takeList(event.vms);
        publishIfChanged(nowMs);
        return;
      case 'generation':
        generation = event.generation;
        return;
      case 'stop-began':
        leaving = true;
        revision += 1;
        spread(self);
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
