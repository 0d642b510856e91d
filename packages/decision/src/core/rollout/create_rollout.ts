/**
 * Roll-out of configuration. Accepts only higher generations, from the head in
 * the store or from peers, fetches missing chunks from the nearest source and
 * serves both to peers. Performs no I/O: the caller feeds events and carries
 * out the returned actions.
 */
import {rankByRendezvous} from '../hashing/index.js';
import {
  type ConfigurationDocument,
  type Generation,
  type MembershipView,
  type VmId,
  assertNever,
} from '../model/index.js';
import {compileConfiguration} from '../templates/index.js';
import {createChunkFetches} from './chunk_fetches.js';
import {HOP_DELAY_ALLOWANCE_MS, createFreshness} from './freshness.js';
import type {Manifest} from './manifest.js';
import {createManifestHistory} from './manifest_history.js';
import {createPeerGenerations} from './peer_generations.js';
import type {ConfigurationPeerMessage} from './peer_messages.js';
import type {
  FreshnessCause,
  Rollout,
  RolloutAction,
  RolloutEvent,
  RolloutNote,
  RolloutOptions,
} from './rollout_types.js';
import {createSectionStore} from './section_store.js';
import type {ConfigurationHead} from './types.js';

/** Number of VMs in each region that watch the head in the store. */
export const WATCHERS_PER_REGION = 2;
/**
 * Time for which a starting VM waits for announcements before it accepts a
 * generation known only from peers.
 */
const BOOT_PEER_WAIT_MS = 1_000;
/** Interval of reads of the head while no configuration is in force. */
const BOOT_READ_INTERVAL_MS = 2_000;
const MANIFEST_TIMEOUT_MS = 1_500;
const MAXIMUM_READ_INTERVAL_MS = 60_000;

interface Candidate {
  readonly generation: Generation;
  readonly manifest: Manifest;
}

type MessageOf<Kind> = Extract<ConfigurationPeerMessage, {kind: Kind}>;

export function createRollout(options: RolloutOptions): Rollout {
  const freshness = createFreshness(options.staleAfterMs);
  const fetches = createChunkFetches();
  const sections = createSectionStore();
  const history = createManifestHistory();
  const peers = createPeerGenerations(options);
  let inForce: Candidate | undefined;
  let document: ConfigurationDocument | undefined;
  let candidate: Candidate | undefined;
  let rejectedGeneration: Generation | undefined;
  let view: MembershipView | undefined;
  let watching = false;
  let cause: FreshnessCause = 'starting';
  let fresh = true;
  let startedAtMs = 0;
  let storeAnswered = false;
  let peerAnswered = false;
  let manifestRequestedAtMs = Number.NEGATIVE_INFINITY;
  let nextAnnounceMs = 0;
  let nextReadMs = 0;
  let readIntervalMs = options.staleAfterMs / 2;
  let actions: RolloutAction[] = [];

  function send(to: VmId, message: ConfigurationPeerMessage): void {
    actions.push({kind: 'send', to, message});
  }

  function note(rolloutNote: RolloutNote): void {
    actions.push({kind: 'note', note: rolloutNote});
  }

  /** Only generations above this one are fetched; -1 if none is known. */
  function highestKnownGeneration(): number {
    return Math.max(
      inForce?.generation ?? -1,
      candidate?.generation ?? -1,
      rejectedGeneration ?? -1,
      (options.minimumGeneration ?? 0) - 1,
    );
  }

  function announcement(nowMs: number): ConfigurationPeerMessage {
    const confirmedAtMs = freshness.confirmedAtMs();
    const ageMs =
      confirmedAtMs === undefined
        ? undefined
        : Math.max(0, Math.ceil(nowMs - confirmedAtMs));
    return {
      kind: 'announcement',
      ...(inForce ? {generation: inForce.generation} : {}),
      ...(ageMs === undefined ? {} : {ageMs}),
    };
  }

  function announceToAll(nowMs: number): void {
    nextAnnounceMs = nowMs + options.announceIntervalMs;
    const message = announcement(nowMs);
    for (const peer of peers.linkedPeers()) {
      send(peer, message);
    }
  }

  function handleHead(
    head: ConfigurationHead | undefined,
    requestedAtMs: number,
  ): void {
    storeAnswered = true;
    readIntervalMs = options.staleAfterMs / 2;
    if (!head) {
      return;
    }
    const {generation, manifest} = head;
    if (inForce && generation < inForce.generation) {
      note({kind: 'store-behind', generation});
      return;
    }
    freshness.confirm(generation, requestedAtMs);
    if (generation > highestKnownGeneration()) {
      candidate = {generation, manifest};
    }
  }

  function handleAnnouncement(
    from: VmId,
    message: MessageOf<'announcement'>,
    nowMs: number,
  ): void {
    peerAnswered = true;
    const {generation, ageMs} = message;
    peers.setGeneration(from, generation);
    if (generation === undefined) {
      return;
    }
    const atMs =
      ageMs === undefined
        ? Number.NEGATIVE_INFINITY
        : nowMs - ageMs - HOP_DELAY_ALLOWANCE_MS;
    freshness.confirm(generation, atMs);
    const requestPending = nowMs - manifestRequestedAtMs < MANIFEST_TIMEOUT_MS;
    if (generation <= highestKnownGeneration() || requestPending) {
      return;
    }
    manifestRequestedAtMs = nowMs;
    const have = inForce ? {have: inForce.generation} : {};
    send(from, {kind: 'manifest-wanted', generation, ...have});
  }

  function handleManifest(message: MessageOf<'manifest'>): void {
    manifestRequestedAtMs = Number.NEGATIVE_INFINITY;
    if (message.generation <= highestKnownGeneration()) {
      return;
    }
    const manifest = history.resolveManifest(message);
    if (manifest) {
      candidate = {generation: message.generation, manifest};
    }
  }

  function storeChunk(digest: string, addSection: () => boolean): void {
    if (!candidate || sections.has(digest) || !fetches.isWanted(digest)) {
      return;
    }
    if (addSection()) {
      fetches.completeFetch(digest);
    } else {
      note({kind: 'bad-chunk', digest});
    }
  }

  function handlePeerMessage(
    from: VmId,
    message: ConfigurationPeerMessage,
    nowMs: number,
  ): void {
    freshness.recordPeerMessage(nowMs);
    switch (message.kind) {
      case 'announcement':
        handleAnnouncement(from, message, nowMs);
        return;
      case 'manifest-wanted':
        if (inForce) {
          const {generation, manifest} = inForce;
          send(from, history.createMessage(generation, manifest, message.have));
        }
        return;
      case 'manifest':
        handleManifest(message);
        return;
      case 'chunk-wanted':
        sendChunk(from, message.digest);
        return;
      case 'chunk':
        handlePackedChunk(from, message, nowMs);
        return;
      case 'chunk-missing':
        fetches.failFetch(message.digest, from, nowMs);
        return;
      default:
        assertNever(message);
    }
  }

  function handleStoreChunk(digest: string, text: string | undefined): void {
    if (text !== undefined) {
      storeChunk(digest, () => sections.add(digest, text));
    }
  }

  function handlePackedChunk(
    from: VmId,
    {digest, packed}: MessageOf<'chunk'>,
    nowMs: number,
  ): void {
    storeChunk(digest, () => sections.addPacked(digest, packed));
    fetches.failFetch(digest, from, nowMs);
  }

  function sendChunk(to: VmId, digest: string): void {
    const packed = sections.packedOf(digest);
    if (packed) {
      send(to, {kind: 'chunk', digest, packed});
    } else {
      send(to, {kind: 'chunk-missing', digest});
    }
  }

  /**
   * At boot, waits for the store's answer or, without it, for the peers'
   * announcements, so that an outdated generation does not come into force.
   */
  function isBootReady(nowMs: number): boolean {
    if (inForce || storeAnswered) {
      return true;
    }
    return peerAnswered && nowMs - startedAtMs >= BOOT_PEER_WAIT_MS;
  }

  function advance(nowMs: number): void {
    if (candidate) {
      fetches.setWanted(sections.missing(candidate.manifest), nowMs);
      requestChunks(candidate.generation, nowMs);
      if (fetches.missingCount() === 0 && isBootReady(nowMs)) {
        accept(candidate, nowMs);
      }
    }
    updateFreshness(nowMs);
  }

  function requestChunks(generation: Generation, nowMs: number): void {
    const sources = peers.sourcesOf(generation, view);
    for (const {digest, source} of fetches.startDueFetches(
      sources,
      watching,
      nowMs,
    )) {
      if (source === 'store') {
        actions.push({kind: 'read-chunk', digest});
      } else {
        send(source, {kind: 'chunk-wanted', digest});
      }
    }
  }

  function accept(complete: Candidate, nowMs: number): void {
    const {generation, manifest} = complete;
    candidate = undefined;
    if (generation <= (inForce?.generation ?? -1)) {
      return;
    }
    const assembled = sections.assemble(manifest);
    compileConfiguration(assembled, generation).caseOf({
      Left: ([first]) => {
        rejectedGeneration = generation;
        const problem = `${first?.section}: ${first?.path}: ${first?.problem}`;
        note({kind: 'rejected', generation, problem});
      },
      Right: configuration => {
        inForce = complete;
        document = assembled;
        freshness.setInForce(generation);
        history.add(generation, manifest);
        actions.push({kind: 'in-force', configuration, document: assembled});
        announceToAll(nowMs);
      },
    });
    sections.retain(inForce?.manifest ?? []);
  }

  function updateFreshness(nowMs: number): void {
    const nextCause = freshness.evaluate(nowMs);
    const nowFresh = isFresh(nextCause);
    if (nextCause === cause && nowFresh === fresh) {
      return;
    }
    cause = nextCause;
    fresh = nowFresh;
    actions.push({kind: 'freshness', fresh, cause});
  }

  function isFresh(nextCause: FreshnessCause): boolean {
    switch (nextCause) {
      case 'starting':
      case 'current':
      case 'store-away':
        return true;
      case 'behind':
        // Requests can go to other VMs only if a peer runs a newer generation.
        return !peers.hasNewerThan(
          Math.max(inForce?.generation ?? -1, rejectedGeneration ?? -1),
        );
      case 'cut-off':
        return false;
      default:
        return assertNever(nextCause);
    }
  }

  function handleView(next: MembershipView): void {
    view = next;
    const present: VmId[] = [options.vm];
    for (const {vm, state, region} of next.vms.values()) {
      const usable = state === 'live' || state === 'leaving';
      if (usable && region === options.region && vm !== options.vm) {
        present.push(vm);
      }
    }
    const order = rankByRendezvous('configuration-watch', present);
    const selected = order.indexOf(options.vm) < WATCHERS_PER_REGION;
    if (selected !== watching) {
      watching = selected;
      actions.push({kind: 'watch', enabled: selected});
    }
  }

  /**
   * VMs that do not watch read the head if the configuration in force has not
   * been confirmed for half of `staleAfterMs`.
   */
  function readIfUnconfirmed(nowMs: number): void {
    const confirmedAtMs = freshness.confirmedAtMs();
    const confirmed =
      confirmedAtMs !== undefined &&
      nowMs - confirmedAtMs <= options.staleAfterMs / 2;
    if (watching || confirmed || nowMs < nextReadMs) {
      return;
    }
    nextReadMs = nowMs + (inForce ? readIntervalMs : BOOT_READ_INTERVAL_MS);
    actions.push({kind: 'read-head'});
  }

  function tick(nowMs: number): void {
    readIfUnconfirmed(nowMs);
    if (nowMs >= nextAnnounceMs) {
      announceToAll(nowMs);
    }
  }

  function handle(event: RolloutEvent, nowMs: number): void {
    switch (event.kind) {
      case 'started':
        startedAtMs = nowMs;
        nextReadMs = nowMs + BOOT_READ_INTERVAL_MS;
        actions.push({kind: 'read-head'});
        return;
      case 'peer-connected':
        peers.addPeer(event.peer);
        send(event.peer, announcement(nowMs));
        return;
      case 'peer-disconnected':
        peers.removePeer(event.peer);
        fetches.releaseSource(event.peer);
        return;
      case 'membership-changed':
        handleView(event.view);
        return;
      case 'store-head':
        handleHead(event.head, event.requestedAtMs);
        return;
      case 'store-failed':
        readIntervalMs = Math.min(readIntervalMs * 2, MAXIMUM_READ_INTERVAL_MS);
        return;
      case 'chunk-read':
        handleStoreChunk(event.digest, event.text);
        fetches.failFetch(event.digest, 'store', nowMs);
        return;
      case 'peer-message':
        handlePeerMessage(event.from, event.message, nowMs);
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
      advance(nowMs);
      return actions;
    },
    status: nowMs => {
      const confirmedAtMs = freshness.confirmedAtMs();
      return {
        generation: inForce?.generation,
        newestHeard: freshness.newestHeard(),
        watching,
        cause,
        confirmedAgeMs:
          confirmedAtMs === undefined ? undefined : nowMs - confirmedAtMs,
        missingChunks: fetches.missingCount(),
        document,
      };
    },
  };
}
