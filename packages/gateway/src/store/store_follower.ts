/**
 * Mirrors the store's targets, configuration and evacuations. The VMs selected
 * as watchers watch the store and broadcast the changes; the other VMs apply
 * what they receive from peers.
 */
import {
  type MirrorBatch,
  type MirrorChange,
  type MirrorEvent,
  type MirroredObject,
  type StoreMirror,
  type WatcherSelection,
  createStoreMirror,
  storeEraOf,
} from '@ibisbeam/decision';
import type {
  Logger,
  PlatformError,
  PlatformListing,
  PlatformStore,
  TimerService,
} from '@ibisbeam/library';
import type {Either} from 'purify-ts';
import type {CopyVersions, PeerMessage, StoreKind} from '../peers/messages.js';
import type {EntrySelections} from './entry_selection.js';
import {createRestoreProgress} from './restore_progress.js';
import {
  fromPeerEvents,
  fromPeerObjects,
  toMirrorEvents,
  toMirroredObjects,
} from './mirror_objects.js';

export interface StoreFollowerOptions {
  readonly store: Pick<PlatformStore, 'list' | 'watch'>;
  /** The platform's name of each kind. */
  readonly kindNames: Readonly<Record<StoreKind, string>>;
  /** What is kept of each kind. */
  readonly selections: EntrySelections;
  readonly watcherSelection: WatcherSelection;
  readonly timers: TimerService;
  readonly log: Logger;
  /** @param settlingMs Grace period before missing objects count as deleted. */
  onChange(kind: StoreKind, change: MirrorChange, settlingMs: number): void;
  /** The store has come back from an older copy; called once an era. */
  onRestored(): void;
  broadcast(message: PeerMessage): void;
}

export interface StoreFollower {
  start(): void;
  stop(): void;
  /**
   * Lists every kind, whether or not this VM is selected to watch. Resolves to
   * false if the store did not answer for all of them.
   *
   * @param sinceMs Lists in progress count if they were asked for since then.
   */
  listAll(sinceMs: number): Promise<boolean>;
  /** Whether every kind was listed from the store or received from a peer. */
  isComplete(): boolean;
  /** Whether there is no snapshot of the kind yet. */
  isMissing(kind: StoreKind): boolean;
  /**
   * Time since the store last answered this VM for the kind that was confirmed
   * least recently; undefined if any kind has not been confirmed.
   */
  watchAgeMs(): number | undefined;
  /** When the store last answered this VM or one of its peers. */
  lastConfirmedMs(): number;
  /** Era of the store, which rises when it comes back from an older copy. */
  era(): number | undefined;
  /** How long the last restore took; undefined before the first. */
  restoreMs(): number | undefined;
  copyVersions(): CopyVersions;
  /** Undefined while there is no snapshot of the kind. */
  snapshotMessage(kind: StoreKind): PeerMessage | undefined;
  /**
   * Applies the message. Returns false if changes before it are missing, so
   * that a snapshot must be requested from the peer.
   */
  receive(message: Extract<PeerMessage, {kind: 'snapshot' | 'batch'}>): boolean;
}

export const STORE_KINDS: readonly StoreKind[] = [
  'configuration',
  'targets',
  'evacuations',
];
/** Longest wait of one watch, which bounds the age of confirmations. */
const WATCH_WAIT_MS: Readonly<Record<StoreKind, number>> = {
  configuration: 1_000,
  targets: 1_000,
  evacuations: 1_000,
};
/** A watch without a response this long after its wait has failed. */
const WATCH_TIMEOUT_MARGIN_MS = 500;
const LIST_TIMEOUT_MS = 1_500;
/** Pause between watches, so that changes in quick succession are batched. */
const PAUSE_AFTER_CHANGE_MS = 120;
/** The same at watchers that only stand by for the first one. */
const STANDBY_PAUSE_AFTER_CHANGE_MS = 400;
/** Time in which the first watcher's message of a change usually arrives. */
const STANDBY_BROADCAST_DELAY_MS = 150;
/**
 * A copy without changes moves on to the store's version this often. The store
 * forgets its history within some seconds, and a watch from before fails.
 */
const IDLE_ADVANCE_INTERVAL_MS = 5_000;
/** After more changes at once, peers are sent the whole copy. */
const MAXIMUM_BATCH_EVENTS = 10_000;
const SELECTION_CHECK_INTERVAL_MS = 100;
const INITIAL_BACKOFF_MS = 100;
const MAXIMUM_BACKOFF_MS = 800;
/** Time for targets to renew entries that expired during an outage. */
const SETTLE_AFTER_OUTAGE_MS = 2_000;
/**
 * If no VM reached the store for this long, entries of running targets may have
 * expired because they could not be renewed. Entries expire after three missed
 * renewals, 1.5 s apart, which takes longer than this limit.
 */
const MINIMUM_OUTAGE_MS = 2_500;
/** Consecutive failures after which only the configuration is polled. */
const FAILURES_BEFORE_SINGLE_PROBE = 3;

type ListingResult = Either<PlatformError, PlatformListing>;

interface PendingListing {
  readonly startedAtMs: number;
  readonly result: Promise<ListingResult>;
}

interface FollowedKind {
  readonly kind: StoreKind;
  readonly mirror: StoreMirror;
  pendingListing?: PendingListing;
  confirmedAtMs: number;
  needsList: boolean;
  /** When the copy's version changed last. */
  advancedAtMs: number;
  /** Version up to which peers have passed changes on. */
  toldVersion: number;
}

export function createStoreFollower(
  options: StoreFollowerOptions,
): StoreFollower {
  const {timers, log, store} = options;
  const followedKinds = new Map<StoreKind, FollowedKind>();
  for (const kind of STORE_KINDS) {
    followedKinds.set(kind, {
      kind,
      mirror: createStoreMirror(),
      confirmedAtMs: -Infinity,
      needsList: true,
      advancedAtMs: -Infinity,
      toldVersion: -Infinity,
    });
  }
  let stopped = false;
  let unreachableSinceMs: number | undefined;
  let failures = 0;
  let settleUntilMs = -Infinity;

  const restoreProgress = createRestoreProgress({
    timers,
    log,
    onRestored: () => {
      settleUntilMs = timers.nowMs() + SETTLE_AFTER_OUTAGE_MS;
      options.onRestored();
    },
  });

  function followedKind(kind: StoreKind): FollowedKind {
    const followed = followedKinds.get(kind);
    if (!followed) {
      throw new Error(`store kind ${kind} is not followed`);
    }
    return followed;
  }

  function settlingMs(): number {
    return Math.max(0, settleUntilMs - timers.nowMs());
  }

  /** Last time at which any VM is known to have reached the store. */
  function lastConfirmedMs(): number {
    let lastMs = options.watcherSelection.lastPeerConfirmationMs();
    for (const {confirmedAtMs} of followedKinds.values()) {
      lastMs = Math.max(lastMs, confirmedAtMs);
    }
    return lastMs;
  }

  function onSuccess(followed: FollowedKind): void {
    const nowMs = timers.nowMs();
    // If only this VM lost contact, peers have sent it the changes, and missing
    // entries need no grace period.
    if (nowMs - lastConfirmedMs() >= MINIMUM_OUTAGE_MS) {
      settleUntilMs = nowMs + SETTLE_AFTER_OUTAGE_MS;
    }
    followed.confirmedAtMs = nowMs;
    failures = 0;
    if (unreachableSinceMs === undefined) {
      return;
    }
    log.log('info', 'store-reachable', {
      awayMs: Math.round(nowMs - unreachableSinceMs),
      settlingMs: Math.round(settlingMs()),
    });
    unreachableSinceMs = undefined;
  }

  function onFailure(followed: FollowedKind, error: PlatformError): void {
    failures += 1;
    if (error.kind === 'watch-gap') {
      followed.needsList = true;
      log.log('info', 'watch-gap', {
        of: followed.kind,
        version: followed.mirror.version(),
      });
      return;
    }
    if (unreachableSinceMs === undefined) {
      unreachableSinceMs = timers.nowMs();
      log.log('warn', 'store-unreachable', {
        of: followed.kind,
        cause: 'cause' in error ? error.cause : error.kind,
      });
    }
    // The store may have discarded changes that were missed meanwhile.
    followed.needsList = true;
  }

  function backoffMs(): number {
    const step = Math.min(Math.max(failures - 1, 0), 8);
    return Math.min(MAXIMUM_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** step);
  }

  async function run(followed: FollowedKind): Promise<void> {
    while (!stopped) {
      if (!options.watcherSelection.shouldWatch(timers.nowMs())) {
        await timers.sleep(SELECTION_CHECK_INTERVAL_MS);
        continue;
      }
      // One kind is enough to detect that the store is reachable again.
      const usesSingleProbe = failures >= FAILURES_BEFORE_SINGLE_PROBE;
      if (usesSingleProbe && followed.kind !== 'configuration') {
        await timers.sleep(SELECTION_CHECK_INTERVAL_MS);
        continue;
      }
      const pauseMs = followed.needsList
        ? await list(followed)
        : await watch(followed);
      if (pauseMs > 0) {
        await timers.sleep(pauseMs);
      }
    }
  }

  /** Joins a call in progress that was made at `sinceMs` or later. */
  function fetchListing(
    followed: FollowedKind,
    sinceMs = -Infinity,
  ): Promise<ListingResult> {
    const {pendingListing} = followed;
    if (pendingListing && pendingListing.startedAtMs >= sinceMs) {
      return pendingListing.result;
    }
    const started: PendingListing = {
      startedAtMs: timers.nowMs(),
      result: store
        .list(options.kindNames[followed.kind], {
          purpose: 'store-follow',
          timeoutMs: LIST_TIMEOUT_MS,
          selection: options.selections[followed.kind],
        })
        .run()
        .finally(() => {
          if (followed.pendingListing === started) {
            followed.pendingListing = undefined;
          }
        }),
    };
    followed.pendingListing = started;
    return started.result;
  }

  function applyListing(
    followed: FollowedKind,
    listing: PlatformListing,
  ): MirrorChange {
    onSuccess(followed);
    followed.needsList = false;
    return applySnapshot(followed, {
      version: listing.version,
      objects: toMirroredObjects(followed.kind, listing.objects),
    });
  }

  async function listAll(sinceMs: number): Promise<boolean> {
    const listed = await Promise.all(
      [...followedKinds.values()].map(async followed => {
        const result = await fetchListing(followed, sinceMs);
        result.ifRight(listing => applyListing(followed, listing));
        return result.isRight();
      }),
    );
    return listed.every(isListed => isListed);
  }

  async function list(followed: FollowedKind): Promise<number> {
    const result = await fetchListing(followed);
    return result.caseOf({
      Left: error => {
        onFailure(followed, error);
        return backoffMs();
      },
      Right: listing => {
        const from = followed.mirror.version();
        const change = applyListing(followed, listing);
        if (from >= 0 && storeEraOf(from) === storeEraOf(listing.version)) {
          // Peers need only what the watches have missed.
          passOn(followed, batchOf(change, from, listing.version));
          return 0;
        }
        const message = snapshotMessage(followed.kind);
        if (message) {
          options.broadcast(message);
        }
        return 0;
      },
    });
  }

  async function watch(followed: FollowedKind): Promise<number> {
    const from = followed.mirror.version();
    const waitMs = WATCH_WAIT_MS[followed.kind];
    const result = await store
      .watch(options.kindNames[followed.kind], from, {
        purpose: 'store-follow',
        waitMs,
        timeoutMs: waitMs + WATCH_TIMEOUT_MARGIN_MS,
        selection: options.selections[followed.kind],
      })
      .run();
    return result.caseOf({
      Left: error => {
        onFailure(followed, error);
        return backoffMs();
      },
      Right: changes => {
        onSuccess(followed);
        const isEmpty = changes.changes.length === 0;
        if (isEmpty && !isAdvanceDue(followed, changes.version)) {
          return 0;
        }
        const batch: MirrorBatch = {
          from,
          version: changes.version,
          events: toMirrorEvents(followed.kind, changes.changes),
        };
        applyBatch(followed, batch);
        passOn(followed, batch);
        if (isEmpty) {
          return 0;
        }
        return options.watcherSelection.isFirst()
          ? PAUSE_AFTER_CHANGE_MS
          : STANDBY_PAUSE_AFTER_CHANGE_MS;
      },
    });
  }

  function isAdvanceDue(
    {mirror, advancedAtMs}: FollowedKind,
    version: number,
  ): boolean {
    return (
      version > mirror.version() &&
      timers.nowMs() - advancedAtMs >= IDLE_ADVANCE_INTERVAL_MS
    );
  }

  /** A watcher that stands by speaks only if the first one has not. */
  function passOn(followed: FollowedKind, batch: MirrorBatch): void {
    if (batch.version <= batch.from) {
      return;
    }
    const snapshot =
      batch.events.length > MAXIMUM_BATCH_EVENTS
        ? snapshotMessage(followed.kind)
        : undefined;
    const broadcastBatch = (): void =>
      options.broadcast(
        snapshot ?? {
          kind: 'batch',
          of: followed.kind,
          from: batch.from,
          version: batch.version,
          events: [...batch.events],
          settlingMs: settlingMs(),
        },
      );
    if (options.watcherSelection.isFirst()) {
      broadcastBatch();
      return;
    }
    timers.after(STANDBY_BROADCAST_DELAY_MS, () => {
      if (!stopped && followed.toldVersion < batch.version) {
        broadcastBatch();
      }
    });
  }

  function applySnapshot(
    followed: FollowedKind,
    snapshot: {version: number; objects: readonly MirroredObject[]},
  ): MirrorChange {
    followed.advancedAtMs = timers.nowMs();
    restoreProgress.onSnapshot(followed.mirror.version(), snapshot.version);
    const change = followed.mirror.applySnapshot(snapshot);
    notifyChange(followed, change);
    restoreProgress.onApplied(mirrorVersions());
    return change;
  }

  function mirrorVersions(): readonly number[] {
    return [...followedKinds.values()].map(({mirror}) => mirror.version());
  }

  function applyBatch(followed: FollowedKind, batch: MirrorBatch): boolean {
    const change = followed.mirror.applyBatch(batch);
    if (change === 'gap') {
      return false;
    }
    followed.advancedAtMs = timers.nowMs();
    notifyChange(followed, change);
    return true;
  }

  function notifyChange(followed: FollowedKind, change: MirrorChange): void {
    if (change.put.length > 0 || change.removed.length > 0) {
      options.onChange(followed.kind, change, settlingMs());
    }
  }

  function snapshotMessage(kind: StoreKind): PeerMessage | undefined {
    const {mirror} = followedKind(kind);
    if (mirror.version() < 0) {
      return undefined;
    }
    const {version, objects} = mirror.snapshot();
    return {
      kind: 'snapshot',
      of: kind,
      version,
      objects: [...objects],
      settlingMs: settlingMs(),
    };
  }

  function receive(
    message: Extract<PeerMessage, {kind: 'snapshot' | 'batch'}>,
  ): boolean {
    const followed = followedKind(message.of);
    settleUntilMs = Math.max(
      settleUntilMs,
      timers.nowMs() + Math.min(message.settlingMs, SETTLE_AFTER_OUTAGE_MS),
    );
    switch (message.kind) {
      case 'snapshot':
        applySnapshot(followed, {
          version: message.version,
          objects: fromPeerObjects(message.of, message.objects),
        });
        followed.needsList =
          followed.needsList && followed.mirror.version() < 0;
        return true;
      case 'batch':
        followed.toldVersion = Math.max(followed.toldVersion, message.version);
        return applyBatch(followed, {
          from: message.from,
          version: message.version,
          events: fromPeerEvents(message.of, message.events),
        });
    }
  }

  return {
    start: () => {
      for (const followed of followedKinds.values()) {
        void run(followed);
      }
    },
    stop: () => {
      stopped = true;
    },
    listAll,
    isComplete: () => {
      for (const {mirror} of followedKinds.values()) {
        if (mirror.version() < 0) {
          return false;
        }
      }
      return true;
    },
    isMissing: kind => followedKind(kind).mirror.version() < 0,
    watchAgeMs: () => {
      let oldestMs = Infinity;
      for (const {confirmedAtMs} of followedKinds.values()) {
        oldestMs = Math.min(oldestMs, confirmedAtMs);
      }
      const ageMs = timers.nowMs() - oldestMs;
      return Number.isFinite(ageMs) ? ageMs : undefined;
    },
    lastConfirmedMs,
    era: () => {
      const newest = Math.max(...mirrorVersions());
      return newest >= 0 ? storeEraOf(newest) : undefined;
    },
    restoreMs: restoreProgress.tookMs,
    copyVersions: () => {
      const versions: CopyVersions = {};
      for (const {kind, mirror} of followedKinds.values()) {
        if (mirror.version() >= 0) {
          versions[kind] = mirror.version();
        }
      }
      return versions;
    },
    snapshotMessage,
    receive,
  };
}

function batchOf(
  change: MirrorChange,
  from: number,
  version: number,
): MirrorBatch {
  const events: MirrorEvent[] = [];
  for (const object of change.put) {
    events.push({kind: 'put', object});
  }
  for (const name of change.removed) {
    events.push({kind: 'deleted', name, version});
  }
  return {from, version, events};
}
