/**
 * Takes greater generations from the store's head or from peers, fetches what
 * is missing from the nearest source, and passes both on. Pure: the
 * configuration plug-in and the benches drive it.
 */
import {compileConfiguration} from '../templates/index.js';
import {
  type ConfigurationDocument,
  type Generation,
  type MembershipView,
  type Section,
  type VmId,
  assertNever,
  sectionSchema,
} from '../model/index.js';
import {rankByRendezvous} from '../hashing/index.js';
import {createChunkFetches} from './chunk_fetches.js';
import {HOP_DELAY_ALLOWANCE_MS, createFreshness} from './freshness.js';
import {
  type Manifest,
  applyDifference,
  chunkDigest,
  manifestDifference,
  manifestDigest,
} from './manifest.js';
import type {ConfigurationPeerMessage} from './peer_messages.js';
import type {
  FreshnessCause,
  Rollout,
  RolloutAction,
  RolloutEvent,
  RolloutOptions,
} from './rollout_types.js';
import type {ConfigurationHead} from './types.js';

/** Watchers of the store's head in each region. */
export const WATCHERS_PER_REGION = 2;
/** At boot, time for peers to announce before one of them is believed. */
const BOOT_PEER_WAIT_MS = 1_000;
/** Reads of the head while no configuration is in force. */
const BOOT_READ_INTERVAL_MS = 2_000;
const MANIFEST_TIMEOUT_MS = 1_500;
/** Manifests kept, to answer with differences. */
const REMEMBERED_MANIFESTS = 16;
const LONGEST_READ_INTERVAL_MS = 60_000;

interface Chunk {
  readonly text: string;
  readonly section: Section;
}

interface Candidate {
  readonly generation: Generation;
  readonly manifest: Manifest;
}

export function createRollout(options: RolloutOptions): Rollout {
  const freshness = createFreshness(options.staleAfterMs);
  const fetches = createChunkFetches();
  const chunks = new Map<string, Chunk>();
  const manifests = new Map<Generation, Manifest>();
  const announced = new Map<VmId, Generation | undefined>();
  let inForce: Candidate | undefined;
  let document: ConfigurationDocument | undefined;
  let candidate: Candidate | undefined;
  let rejected: Generation | undefined;
  let view: MembershipView | undefined;
  let watching = false;
  let cause: FreshnessCause = 'starting';
  let fresh = true;
  let startedAtMs = 0;
  let storeAnswered = false;
  let peerAnswered = false;
  let manifestAskedAtMs = Number.NEGATIVE_INFINITY;
  let nextAnnounceMs = 0;
  let nextReadMs = 0;
  let readIntervalMs = options.staleAfterMs / 2;
  let actions: RolloutAction[] = [];

  function send(to: VmId, message: ConfigurationPeerMessage): void {
    actions.push({kind: 'send', to, message});
  }

  function knownGeneration(): number {
    return Math.max(
      inForce?.generation ?? -1,
      candidate?.generation ?? -1,
      rejected ?? -1,
      (options.floorGeneration ?? 0) - 1,
    );
  }

  function announcement(nowMs: number): ConfigurationPeerMessage {
    const confirmedAtMs = freshness.confirmedAtMs();
    return {
      kind: 'announcement',
      generation: inForce?.generation,
      ageMs:
        confirmedAtMs === undefined
          ? undefined
          : Math.max(0, Math.ceil(nowMs - confirmedAtMs)),
    };
  }

  function announceToAll(nowMs: number): void {
    nextAnnounceMs = nowMs + options.announceIntervalMs;
    for (const peer of announced.keys()) {
      send(peer, announcement(nowMs));
    }
  }

  function takeHead(
    head: ConfigurationHead | undefined,
    askedAtMs: number,
  ): void {
    storeAnswered = true;
    readIntervalMs = options.staleAfterMs / 2;
    if (!head) {
      return;
    }
    if (inForce && head.generation < inForce.generation) {
      actions.push({
        kind: 'note',
        note: {kind: 'store-behind', generation: head.generation},
      });
      return;
    }
    freshness.confirm(head.generation, askedAtMs);
    if (head.generation > knownGeneration()) {
      setCandidate({generation: head.generation, manifest: head.manifest});
    }
  }

  function setCandidate(found: Candidate): void {
    candidate = found;
  }

  function missingDigests(manifest: Manifest): ReadonlySet<string> {
    const missing = new Set<string>();
    for (const {digest} of manifest) {
      if (!chunks.has(digest)) {
        missing.add(digest);
      }
    }
    return missing;
  }

  function takeAnnouncement(
    from: VmId,
    message: Extract<ConfigurationPeerMessage, {kind: 'announcement'}>,
    nowMs: number,
  ): void {
    peerAnswered = true;
    announced.set(from, message.generation);
    const {generation, ageMs} = message;
    if (generation === undefined) {
      return;
    }
    const atMs =
      ageMs === undefined
        ? Number.NEGATIVE_INFINITY
        : nowMs - ageMs - HOP_DELAY_ALLOWANCE_MS;
    if (generation >= (inForce?.generation ?? 0)) {
      freshness.confirm(generation, atMs);
    }
    if (generation > knownGeneration()) {
      askManifest(from, generation, nowMs);
    }
  }

  function askManifest(from: VmId, generation: Generation, nowMs: number) {
    if (nowMs - manifestAskedAtMs < MANIFEST_TIMEOUT_MS) {
      return;
    }
    manifestAskedAtMs = nowMs;
    send(from, {
      kind: 'manifest-wanted',
      generation,
      have: inForce?.generation,
    });
  }

  function answerManifest(
    to: VmId,
    message: Extract<ConfigurationPeerMessage, {kind: 'manifest-wanted'}>,
  ): void {
    if (!inForce) {
      return;
    }
    const {generation, manifest} = inForce;
    const base =
      message.have === undefined ? undefined : manifests.get(message.have);
    const difference = base
      ? manifestDifference(base, manifest)
      : {entries: manifest, removed: []};
    send(to, {
      kind: 'manifest',
      generation,
      digest: manifestDigest(manifest),
      base: base ? message.have : undefined,
      ...difference,
    });
  }

  function takeManifest(
    message: Extract<ConfigurationPeerMessage, {kind: 'manifest'}>,
  ): void {
    manifestAskedAtMs = Number.NEGATIVE_INFINITY;
    if (message.generation <= knownGeneration()) {
      return;
    }
    const base = message.base === undefined ? [] : manifests.get(message.base);
    if (!base) {
      return;
    }
    const manifest = applyDifference(base, message);
    if (manifestDigest(manifest) !== message.digest) {
      return;
    }
    setCandidate({generation: message.generation, manifest});
  }

  function takeChunk(digest: string, text: string): void {
    if (!candidate || chunks.has(digest)) {
      return;
    }
    const section = parseSection(digest, text);
    if (!section) {
      actions.push({kind: 'note', note: {kind: 'bad-chunk', digest}});
      return;
    }
    if (fetches.arrived(digest)) {
      chunks.set(digest, {text, section});
    }
  }

  function takePeerMessage(
    from: VmId,
    message: ConfigurationPeerMessage,
    nowMs: number,
  ): void {
    freshness.heardPeer(nowMs);
    switch (message.kind) {
      case 'announcement':
        takeAnnouncement(from, message, nowMs);
        return;
      case 'manifest-wanted':
        answerManifest(from, message);
        return;
      case 'manifest':
        takeManifest(message);
        return;
      case 'chunk-wanted':
        answerChunk(from, message.digest);
        return;
      case 'chunk':
        takeChunk(message.digest, message.text);
        fetches.failed(message.digest, from, nowMs);
        return;
      case 'chunk-missing':
        fetches.failed(message.digest, from, nowMs);
        return;
      default:
        assertNever(message);
    }
  }

  function answerChunk(to: VmId, digest: string): void {
    const chunk = chunks.get(digest);
    send(
      to,
      chunk
        ? {kind: 'chunk', digest, text: chunk.text}
        : {kind: 'chunk-missing', digest},
    );
  }

  /** Nothing is believed at boot before the store or, without it, peers had
   * their say. */
  function bootReady(nowMs: number): boolean {
    if (inForce || storeAnswered) {
      return true;
    }
    return peerAnswered && nowMs - startedAtMs >= BOOT_PEER_WAIT_MS;
  }

  /** Peers that run the candidate or a later generation, nearest first. */
  function sourcesOf(generation: Generation): readonly VmId[] {
    const near: VmId[] = [];
    const far: VmId[] = [];
    for (const [peer, theirs] of announced) {
      if (theirs === undefined || theirs < generation) {
        continue;
      }
      const place = view?.vms.get(peer);
      (place?.region === options.region ? near : far).push(peer);
    }
    const inZone = (peer: VmId) => view?.vms.get(peer)?.zone === options.zone;
    near.sort((one, other) => Number(inZone(other)) - Number(inZone(one)));
    return [...near, ...far];
  }

  function advance(nowMs: number): void {
    if (candidate) {
      fetches.want(missingDigests(candidate.manifest), nowMs);
      requestChunks(candidate, nowMs);
      if (fetches.missing() === 0 && bootReady(nowMs)) {
        accept(candidate, nowMs);
      }
    }
    judgeFreshness(nowMs);
  }

  function requestChunks(wanted: Candidate, nowMs: number): void {
    const sources = sourcesOf(wanted.generation);
    for (const request of fetches.next(sources, watching, nowMs)) {
      if (request.source === 'store') {
        actions.push({kind: 'read-chunk', digest: request.digest});
      } else {
        send(request.source, {kind: 'chunk-wanted', digest: request.digest});
      }
    }
  }

  function accept(complete: Candidate, nowMs: number): void {
    candidate = undefined;
    if (complete.generation <= (inForce?.generation ?? -1)) {
      return;
    }
    const sections = new Map<string, Section>();
    for (const {section, digest} of complete.manifest) {
      sections.set(section, chunks.get(digest)!.section);
    }
    compileConfiguration(sections, complete.generation).caseOf({
      Left: problems => {
        rejected = complete.generation;
        const first = problems[0];
        const problem = `${first?.section}: ${first?.path}: ${first?.problem}`;
        actions.push({
          kind: 'note',
          note: {kind: 'rejected', generation: complete.generation, problem},
        });
      },
      Right: configuration => {
        inForce = complete;
        document = sections;
        freshness.accepted(complete.generation);
        remember(complete);
        actions.push({kind: 'in-force', configuration, document: sections});
        announceToAll(nowMs);
      },
    });
    dropUnusedChunks();
  }

  function remember(accepted: Candidate): void {
    manifests.set(accepted.generation, accepted.manifest);
    for (const oldest of manifests.keys()) {
      if (manifests.size <= REMEMBERED_MANIFESTS) {
        break;
      }
      manifests.delete(oldest);
    }
  }

  function dropUnusedChunks(): void {
    const used = new Set(inForce?.manifest.map(entry => entry.digest));
    for (const digest of [...chunks.keys()]) {
      if (!used.has(digest)) {
        chunks.delete(digest);
      }
    }
  }

  /** Whether a peer runs a generation that this VM could and does not run. */
  function outrun(): boolean {
    const ours = Math.max(inForce?.generation ?? -1, rejected ?? -1);
    for (const theirs of announced.values()) {
      if (theirs !== undefined && theirs > ours) {
        return true;
      }
    }
    return false;
  }

  function judgeFreshness(nowMs: number): void {
    const judged = freshness.judge(nowMs);
    const nowFresh = isFresh(judged);
    if (judged === cause && nowFresh === fresh) {
      return;
    }
    cause = judged;
    fresh = nowFresh;
    actions.push({kind: 'freshness', fresh, cause});
  }

  function isFresh(judged: FreshnessCause): boolean {
    switch (judged) {
      case 'starting':
      case 'current':
      case 'store-away':
        return true;
      case 'behind':
        return !outrun();
      case 'cut-off':
        return false;
      default:
        return assertNever(judged);
    }
  }

  function takeView(next: MembershipView): void {
    view = next;
    const present: VmId[] = [options.vm];
    for (const vm of next.vms.values()) {
      const usable = vm.state === 'live' || vm.state === 'leaving';
      if (usable && vm.region === options.region && vm.vm !== options.vm) {
        present.push(vm.vm);
      }
    }
    const order = rankByRendezvous('configuration-watch', present);
    const mine = order.indexOf(options.vm) < WATCHERS_PER_REGION;
    if (mine !== watching) {
      watching = mine;
      actions.push({kind: 'watch', enabled: mine});
    }
  }

  /** Others than watchers read the head when no confirmation comes in. */
  function readIfUnconfirmed(nowMs: number): void {
    const confirmedAtMs = freshness.confirmedAtMs();
    const halfMs = options.staleAfterMs / 2;
    const confirmed =
      confirmedAtMs !== undefined && nowMs - confirmedAtMs <= halfMs;
    if (watching || confirmed || nowMs < nextReadMs) {
      return;
    }
    nextReadMs = nowMs + readIntervalMs;
    if (!inForce) {
      nextReadMs = nowMs + BOOT_READ_INTERVAL_MS;
    }
    actions.push({kind: 'read-head'});
  }

  function tick(nowMs: number): void {
    readIfUnconfirmed(nowMs);
    if (nowMs >= nextAnnounceMs) {
      announceToAll(nowMs);
    }
  }

  function storeFailed(): void {
    readIntervalMs = Math.min(readIntervalMs * 2, LONGEST_READ_INTERVAL_MS);
  }

  function handle(event: RolloutEvent, nowMs: number): void {
    switch (event.kind) {
      case 'started':
        startedAtMs = nowMs;
        nextReadMs = nowMs + BOOT_READ_INTERVAL_MS;
        actions.push({kind: 'read-head'});
        return;
      case 'peer-connected':
        announced.set(event.peer, undefined);
        send(event.peer, announcement(nowMs));
        return;
      case 'peer-disconnected':
        announced.delete(event.peer);
        fetches.sourceLost(event.peer);
        return;
      case 'membership-changed':
        takeView(event.view);
        return;
      case 'store-head':
        takeHead(event.head, event.askedAtMs);
        return;
      case 'store-failed':
        storeFailed();
        return;
      case 'chunk-read':
        takeStoreChunk(event.digest, event.text, nowMs);
        return;
      case 'peer-message':
        takePeerMessage(event.from, event.message, nowMs);
        return;
      case 'tick':
        tick(nowMs);
        return;
      default:
        assertNever(event);
    }
  }

  function takeStoreChunk(
    digest: string,
    text: string | undefined,
    nowMs: number,
  ): void {
    if (text !== undefined) {
      takeChunk(digest, text);
    }
    fetches.failed(digest, 'store', nowMs);
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
        missingChunks: fetches.missing(),
        document,
      };
    },
  };
}

function parseSection(digest: string, text: string): Section | undefined {
  if (chunkDigest(text) !== digest) {
    return undefined;
  }
  try {
    const parsed = sectionSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
