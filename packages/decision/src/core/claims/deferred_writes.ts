/**
 * Queue of claim records that still have to be written to the store: ends of
 * claims, and claims that this VM gave up after their create went unanswered.
 * After an outage the fleet writes them at a bounded rate.
 */
import type {RandomSource} from '../model/index.js';
import {type ClaimRecord, claimRecordSchema} from './claim_record.js';
import type {ClaimStoreResult} from './claims_types.js';
import type {StoreAccess} from './store_access.js';

export const MAXIMUM_DEFERRED_WRITES = 10_000;
const MAXIMUM_ATTEMPTS = 20;
const MILLISECONDS_PER_SECOND = 1_000;

export interface DeferredWrite {
  readonly key: string;
  /** The claim with its end. */
  readonly record: ClaimRecord;
  /**
   * `create`: the store has no claim yet. `update`: replaces this VM's claim
   * at the expected version. `resolve`: this VM's claim may or may not be in
   * the store, so it is read first.
   */
  readonly operation:
    | {readonly kind: 'create'}
    | {readonly kind: 'update'; readonly expected: number}
    | {readonly kind: 'resolve'};
  /**
   * Called once, after the first attempt or when the write is postponed, with
   * whether the record is in the store.
   */
  readonly onFirstAttempt?: (recorded: boolean) => void;
  /**
   * Called when the write has succeeded or has been abandoned, but not if a
   * later write of the same key has replaced it.
   */
  readonly onDone?: (recorded: boolean) => void;
}

export interface DeferredWrites {
  /**
   * Replaces a pending write of the same key. Abandons the oldest write if
   * `MAXIMUM_DEFERRED_WRITES` are pending.
   */
  add(write: DeferredWrite, nowMs: number): void;
  /** Starts the next write if the rate limit and the store's back-off allow. */
  tick(nowMs: number): void;
  /** Whether a write of this key is pending. */
  has(key: string): boolean;
  size(): number;
}

interface Entry {
  /** The pending write; its operation changes with the store's answers. */
  pendingWrite: DeferredWrite;
  attempts: number;
  inFlight: boolean;
  reported: boolean;
}

export function createDeferredWrites(
  store: StoreAccess,
  random: RandomSource,
  fleetSize: () => number,
  writesPerSecond: number,
  onLost: () => void,
): DeferredWrites {
  const entries = new Map<string, Entry>();
  let nextWriteMs = 0;

  function add(deferred: DeferredWrite, nowMs: number): void {
    dropOldestWhenFull();
    entries.delete(deferred.key);
    const entry = {
      pendingWrite: deferred,
      attempts: 0,
      inFlight: false,
      reported: false,
    };
    entries.set(deferred.key, entry);
    if (store.backoffMs(nowMs) === 0) {
      write(entry);
    } else {
      report(entry, false);
    }
  }

  function report(entry: Entry, recorded: boolean): void {
    if (!entry.reported) {
      entry.reported = true;
      entry.pendingWrite.onFirstAttempt?.(recorded);
    }
  }

  function dropOldestWhenFull(): void {
    if (entries.size < MAXIMUM_DEFERRED_WRITES) {
      return;
    }
    for (const [key, entry] of entries) {
      finish(key, entry, false);
      return;
    }
  }

  function finish(key: string, entry: Entry, recorded: boolean): void {
    if (entries.get(key) === entry) {
      entries.delete(key);
    }
    if (!recorded) {
      onLost();
    }
    report(entry, recorded);
    entry.pendingWrite.onDone?.(recorded);
  }

  function write(entry: Entry): void {
    const {key, record, operation} = entry.pendingWrite;
    entry.inFlight = true;
    entry.attempts += 1;
    const onResult = (result: ClaimStoreResult) => handleResult(entry, result);
    switch (operation.kind) {
      case 'create':
        store.call({kind: 'create', key, record}, onResult);
        return;
      case 'update': {
        const {expected} = operation;
        store.call({kind: 'update', key, expected, record}, onResult);
        return;
      }
      case 'resolve':
        store.call({kind: 'read', key}, onResult);
        return;
    }
  }

  function handleResult(entry: Entry, result: ClaimStoreResult): void {
    const {key} = entry.pendingWrite;
    entry.inFlight = false;
    if (entries.get(key) !== entry) {
      return;
    }
    switch (result.kind) {
      case 'written':
        finish(key, entry, true);
        return;
      case 'found':
        reconcile(entry, result);
        return;
      case 'conflict':
        if (result.current) {
          reconcile(entry, result.current);
        } else {
          retryWith(entry, {kind: 'resolve'});
        }
        return;
      case 'not-found':
        // An updated claim is missing if it was deleted after its retention
        // period.
        finish(key, entry, entry.pendingWrite.operation.kind === 'resolve');
        return;
      case 'lost-answer':
      case 'unavailable':
        dropAfterMaximumAttempts(entry);
        return;
    }
  }

  function dropAfterMaximumAttempts(entry: Entry): void {
    report(entry, false);
    if (entry.attempts >= MAXIMUM_ATTEMPTS) {
      finish(entry.pendingWrite.key, entry, false);
    }
  }

  /**
   * Overwrites the stored claim if it is this VM's and has no definite end.
   * Otherwise finishes the write.
   */
  function reconcile(
    entry: Entry,
    current: {readonly version: number; readonly value: unknown},
  ): void {
    const {key, record} = entry.pendingWrite;
    const found = claimRecordSchema.safeParse(current.value);
    if (!found.success || found.data.nonce !== record.nonce) {
      finish(key, entry, entry.pendingWrite.operation.kind === 'resolve');
      return;
    }
    const storedEnd = found.data.end?.kind;
    if (storedEnd !== undefined && storedEnd !== 'unknown') {
      finish(key, entry, storedEnd === record.end?.kind);
      return;
    }
    if (storedEnd === 'unknown' && record.end?.kind === 'unknown') {
      finish(key, entry, true);
      return;
    }
    retryWith(entry, {kind: 'update', expected: current.version});
  }

  function retryWith(
    entry: Entry,
    operation: DeferredWrite['operation'],
  ): void {
    entry.pendingWrite = {...entry.pendingWrite, operation};
    if (entry.attempts < MAXIMUM_ATTEMPTS) {
      write(entry);
    } else {
      finish(entry.pendingWrite.key, entry, false);
    }
  }

  function tick(nowMs: number): void {
    if (
      entries.size === 0 ||
      nowMs < nextWriteMs ||
      store.backoffMs(nowMs) > 0
    ) {
      return;
    }
    const writesPerSecondOfVm = writesPerSecond / Math.max(1, fleetSize());
    const meanIntervalMs = MILLISECONDS_PER_SECOND / writesPerSecondOfVm;
    nextWriteMs = nowMs + meanIntervalMs * (0.5 + random.next());
    for (const entry of entries.values()) {
      if (!entry.inFlight) {
        write(entry);
        return;
      }
    }
  }

  return {
    add,
    tick,
    has: key => entries.has(key),
    size: () => entries.size,
  };
}
