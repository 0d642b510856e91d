/**
 * Ends of claims that still have to get into the store, and claims whose
 * create had no answer and that this VM will not run. After an outage the
 * fleet writes them at a bounded rate.
 */
import type {RandomSource} from '../model/index.js';
import {type ClaimRecord, claimRecordSchema} from './claim_record.js';
import type {ClaimStoreResult} from './claims_types.js';
import type {StoreAccess} from './store_access.js';

export const MAXIMUM_DEFERRED_WRITES = 10_000;
const MAXIMUM_TRIES = 20;
const MILLISECONDS_PER_SECOND = 1_000;

export interface DeferredWrite {
  readonly key: string;
  /** With its end. */
  readonly record: ClaimRecord;
  /**
   * `create`: no claim was made before. `update`: over our claim of the
   * expected version. `resolve`: our claim may or may not be there.
   */
  readonly way:
    | {readonly kind: 'create'}
    | {readonly kind: 'update'; readonly expected: number}
    | {readonly kind: 'resolve'};
  /** Once: at the first try, whether it was kept by then. */
  readonly onFirst?: (kept: boolean) => void;
  readonly onDone?: (kept: boolean) => void;
}

export interface DeferredWrites {
  add(record: DeferredWrite, nowMs: number): void;
  /** Writes what is due. */
  tick(nowMs: number): void;
  /** Whether the key waits here with this nonce. */
  has(key: string): boolean;
  size(): number;
}

interface Entry {
  late: DeferredWrite;
  tries: number;
  busy: boolean;
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
  let nextMs = 0;

  function add(late: DeferredWrite, nowMs: number): void {
    dropOldestWhenFull();
    entries.delete(late.key);
    const entry = {late, tries: 0, busy: false, reported: false};
    entries.set(late.key, entry);
    if (store.distrustMs(nowMs) === 0) {
      write(entry);
    } else {
      report(entry, false);
    }
  }

  function report(entry: Entry, kept: boolean): void {
    if (!entry.reported) {
      entry.reported = true;
      entry.late.onFirst?.(kept);
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

  function finish(key: string, entry: Entry, kept: boolean): void {
    if (entries.get(key) === entry) {
      entries.delete(key);
    }
    if (!kept) {
      onLost();
    }
    report(entry, kept);
    entry.late.onDone?.(kept);
  }

  function write(entry: Entry): void {
    const {key, record, way} = entry.late;
    entry.busy = true;
    entry.tries += 1;
    const then = (result: ClaimStoreResult) => take(entry, result);
    switch (way.kind) {
      case 'create':
        store.call({kind: 'create', key, record}, then);
        return;
      case 'update': {
        const {expected} = way;
        store.call({kind: 'update', key, expected, record}, then);
        return;
      }
      case 'resolve':
        store.call({kind: 'read', key}, then);
        return;
    }
  }

  function take(entry: Entry, result: ClaimStoreResult): void {
    const {key} = entry.late;
    entry.busy = false;
    if (entries.get(key) !== entry) {
      return;
    }
    switch (result.kind) {
      case 'written':
        finish(key, entry, true);
        return;
      case 'found':
        compare(entry, result);
        return;
      case 'conflict':
        if (result.current) {
          compare(entry, result.current);
        } else {
          retryAs(entry, {kind: 'resolve'});
        }
        return;
      case 'not-found':
        // An update finds nothing when the retention has passed.
        finish(key, entry, entry.late.way.kind === 'resolve');
        return;
      case 'lost-answer':
      case 'unavailable':
        giveUpAfterTries(entry);
        return;
    }
  }

  function giveUpAfterTries(entry: Entry): void {
    report(entry, false);
    if (entry.tries >= MAXIMUM_TRIES) {
      finish(entry.late.key, entry, false);
    }
  }

  /** Writes over our own claim while it has no final end; else it is done. */
  function compare(
    entry: Entry,
    current: {readonly version: number; readonly value: unknown},
  ): void {
    const {key, record} = entry.late;
    const found = claimRecordSchema.safeParse(current.value);
    if (!found.success || found.data.nonce !== record.nonce) {
      finish(key, entry, entry.late.way.kind === 'resolve');
      return;
    }
    const final = found.data.end?.kind;
    if (final !== undefined && final !== 'unknown') {
      finish(key, entry, final === record.end?.kind);
      return;
    }
    if (final === 'unknown' && record.end?.kind === 'unknown') {
      finish(key, entry, true);
      return;
    }
    retryAs(entry, {kind: 'update', expected: current.version});
  }

  function retryAs(entry: Entry, way: DeferredWrite['way']): void {
    entry.late = {...entry.late, way};
    if (entry.tries < MAXIMUM_TRIES) {
      write(entry);
    } else {
      finish(entry.late.key, entry, false);
    }
  }

  function tick(nowMs: number): void {
    if (entries.size === 0 || nowMs < nextMs || store.distrustMs(nowMs) > 0) {
      return;
    }
    const perSecond = writesPerSecond / Math.max(1, fleetSize());
    const meanMs = MILLISECONDS_PER_SECOND / perSecond;
    nextMs = nowMs + meanMs * (0.5 + random.next());
    for (const entry of entries.values()) {
      if (!entry.busy) {
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
