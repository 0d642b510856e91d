/**
 * Registry of the targets in the platform's list, with their incarnations,
 * drains, cold starts and evacuated zones. A target that disappears from the
 * list while the list is unreliable is kept until the list is stable again.
 * While the list has come back from an older copy, entries that are older than
 * what is known are withheld: they would bring back targets that have left.
 */

export interface TargetEntry {
  /** Name in the platform's list; successive incarnations share it. */
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  /** Requests that the target runs concurrently. */
  readonly slots: number;
  readonly draining: boolean;
  /** Time for which the target was still cold when the entry was written. */
  readonly coldRemainingMs: number;
  /** Start of this incarnation, in Unix milliseconds. */
  readonly startedAtWallMs: number;
  /** Grows with each write of this incarnation; undefined if not stated. */
  readonly sequence?: number | undefined;
}

export interface RegisteredTarget {
  readonly entry: TargetEntry;
  /** Identifies one incarnation: a restarted target gets a new one. */
  readonly incarnation: string;
  readonly region: string;
  /** Time on the local clock until which the target is cold. */
  readonly coldUntilMs: number;
}

export type RegistryEvent =
  | {readonly kind: 'target-added'; readonly target: RegisteredTarget}
  | {readonly kind: 'target-draining'; readonly target: RegisteredTarget}
  | {readonly kind: 'target-cold'; readonly target: RegisteredTarget}
  | {
      readonly kind: 'target-removed';
      readonly target: RegisteredTarget;
      readonly why: 'not listed' | 'other incarnation';
    };

export interface TargetRegistryOptions {
  readonly zoneRegions: ReadonlyMap<string, string>;
  onEvent(event: RegistryEvent): void;
  /**
   * Whether the incarnation is leaving, whatever the list says. Call
   * `refreshUsable` when this changes.
   */
  isLeaving?(incarnation: string): boolean;
}

export interface TargetRegistry {
  get(id: string): RegisteredTarget | undefined;
  all(): readonly RegisteredTarget[];
  /**
   * Targets of the service that may get new requests. The same array is
   * returned until they change.
   */
  usable(service: string): readonly RegisteredTarget[];
  /** Recomputes which targets of the service are usable. */
  refreshUsable(service: string): void;
  isCold(target: RegisteredTarget, nowMs: number): boolean;
  /** Adds the target or replaces its entry; cancels a scheduled removal. */
  put(entry: TargetEntry, nowMs: number): void;
  /** @param removeAtMs When to remove the target unless it is listed again. */
  remove(id: string, nowMs: number, removeAtMs: number): void;
  /**
   * Replaces the evacuated zones.
   *
   * @param coldMs Time for which targets of a service are cold when their zone
   *     is no longer evacuated.
   */
  setEvacuated(
    zones: ReadonlySet<string>,
    nowMs: number,
    coldMs: (service: string) => number,
  ): void;
  evacuated(): ReadonlySet<string>;
  /**
   * The list has come back from an older copy of itself.
   *
   * @param leftMs Time for which outdated entries are withheld.
   */
  beginRestore(nowMs: number, leftMs?: number): void;
  /** Time until a restore ends; 0 if there is none. */
  restoreLeftMs(nowMs: number): number;
  /** Entries of targets that left in the last minute. */
  departedEntries(): readonly TargetEntry[];
  /** Withholds the target unless its entry is newer than that of the leaver. */
  learnDeparted(entry: TargetEntry, nowMs: number): void;
  /** Takes another VM's entry of a target that is listed, if it is newer. */
  learnListed(entry: TargetEntry, nowMs: number, removeAtMs: number): void;
  /** Number of entries that are withheld as older than what is known. */
  withheldCount(): number;
  /** Removes the targets whose removal is due, and ends a restore. */
  expire(nowMs: number): void;
}

/**
 * After this time in a restored list, an entry of a target that has left would
 * have lapsed, and one that is still there holds.
 */
const RESTORE_MS = 5_000;
/** An older copy of the list is at most this old. */
const DEPARTED_RETENTION_MS = 60_000;

interface DepartedTarget {
  readonly entry: TargetEntry;
  readonly atMs: number;
}

interface RegistryRecord {
  target: RegisteredTarget;
  removeAtMs?: number;
}

export function createTargetRegistry(
  options: TargetRegistryOptions,
): TargetRegistry {
  const records = new Map<string, RegistryRecord>();
  const usableByService = new Map<string, readonly RegisteredTarget[]>();
  let evacuated: ReadonlySet<string> = new Set();
  /** By identifier. */
  const departed = new Map<string, DepartedTarget>();
  const withheld = new Map<string, TargetEntry>();
  let restoreUntilMs = -Infinity;

  function invalidate(service: string): void {
    usableByService.delete(service);
  }

  /** Whether the list's entry is older than what was known of the target. */
  function isOutdated(entry: TargetEntry): boolean {
    const known = records.get(entry.id)?.target.entry;
    if (known) {
      return (
        isOlder(entry, known) ||
        (known.draining && !entry.draining && !isOlder(known, entry))
      );
    }
    const gone = departed.get(entry.id)?.entry;
    return gone !== undefined && !isOlder(gone, entry);
  }

  function put(entry: TargetEntry, nowMs: number): void {
    if (nowMs < restoreUntilMs && isOutdated(entry)) {
      withheld.set(entry.id, entry);
      return;
    }
    withheld.delete(entry.id);
    const known = records.get(entry.id);
    const incarnation = incarnationOf(entry);
    const sameIncarnation = known?.target.incarnation === incarnation;
    if (known && !sameIncarnation) {
      options.onEvent({
        kind: 'target-removed',
        target: known.target,
        why: 'other incarnation',
      });
    }
    const listedColdUntilMs =
      entry.coldRemainingMs > 0 ? nowMs + entry.coldRemainingMs : 0;
    const coldUntilMs = sameIncarnation
      ? Math.max(known.target.coldUntilMs, listedColdUntilMs)
      : listedColdUntilMs;
    const target: RegisteredTarget = {
      entry,
      incarnation,
      region: options.zoneRegions.get(entry.zone) ?? entry.zone,
      coldUntilMs,
    };
    records.set(entry.id, {target});
    invalidate(entry.service);
    if (known) {
      invalidate(known.target.entry.service);
    }
    if (!known || !sameIncarnation) {
      options.onEvent({kind: 'target-added', target});
    }
    if (entry.draining && !(sameIncarnation && known.target.entry.draining)) {
      options.onEvent({kind: 'target-draining', target});
    }
    if (
      listedColdUntilMs > 0 &&
      !(sameIncarnation && known.target.coldUntilMs >= nowMs)
    ) {
      options.onEvent({kind: 'target-cold', target});
    }
  }

  function drop(id: string, record: RegistryRecord, nowMs: number): void {
    records.delete(id);
    departed.set(id, {entry: record.target.entry, atMs: nowMs});
    invalidate(record.target.entry.service);
    options.onEvent({
      kind: 'target-removed',
      target: record.target,
      why: 'not listed',
    });
  }

  function remove(id: string, nowMs: number, removeAtMs: number): void {
    withheld.delete(id);
    const record = records.get(id);
    if (!record) {
      return;
    }
    if (removeAtMs <= nowMs) {
      drop(id, record, nowMs);
      return;
    }
    record.removeAtMs = Math.min(record.removeAtMs ?? Infinity, removeAtMs);
  }

  function learnDeparted(entry: TargetEntry, nowMs: number): void {
    const record = records.get(entry.id);
    if (record && isOlder(entry, record.target.entry)) {
      return;
    }
    if (record) {
      withheld.set(entry.id, record.target.entry);
      drop(entry.id, record, nowMs);
    }
    departed.set(entry.id, {entry, atMs: nowMs});
  }

  function learnListed(
    entry: TargetEntry,
    nowMs: number,
    removeAtMs: number,
  ): void {
    const known = records.get(entry.id)?.target.entry;
    if (!known) {
      put(entry, nowMs);
      remove(entry.id, nowMs, removeAtMs);
      return;
    }
    const startsDraining = entry.draining && !known.draining;
    if (isOlder(known, entry) || (startsDraining && !isOlder(entry, known))) {
      put(entry, nowMs);
    }
  }

  function setEvacuated(
    zones: ReadonlySet<string>,
    nowMs: number,
    coldMs: (service: string) => number,
  ): void {
    const returned = [...evacuated].filter(zone => !zones.has(zone));
    evacuated = zones;
    for (const record of records.values()) {
      const {target} = record;
      if (!returned.includes(target.entry.zone)) {
        continue;
      }
      const untilMs = nowMs + coldMs(target.entry.service);
      record.target = {
        ...target,
        coldUntilMs: Math.max(target.coldUntilMs, untilMs),
      };
    }
    usableByService.clear();
  }

  function usable(service: string): readonly RegisteredTarget[] {
    const cached = usableByService.get(service);
    if (cached) {
      return cached;
    }
    const found: RegisteredTarget[] = [];
    for (const {target} of records.values()) {
      const {entry, incarnation} = target;
      if (entry.service !== service || entry.draining) {
        continue;
      }
      if (options.isLeaving?.(incarnation)) {
        continue;
      }
      if (!evacuated.has(entry.zone)) {
        found.push(target);
      }
    }
    usableByService.set(service, found);
    return found;
  }

  function expire(nowMs: number): void {
    for (const [id, record] of records) {
      if (record.removeAtMs !== undefined && record.removeAtMs <= nowMs) {
        drop(id, record, nowMs);
      }
    }
    for (const [id, {atMs}] of departed) {
      if (nowMs - atMs > DEPARTED_RETENTION_MS) {
        departed.delete(id);
      }
    }
    if (nowMs >= restoreUntilMs) {
      for (const entry of [...withheld.values()]) {
        put(entry, nowMs);
      }
    }
  }

  return {
    get: id => records.get(id)?.target,
    all: () => [...records.values()].map(record => record.target),
    usable,
    refreshUsable: invalidate,
    isCold: (target, nowMs) => nowMs < target.coldUntilMs,
    put,
    remove,
    setEvacuated,
    evacuated: () => evacuated,
    beginRestore: (nowMs, leftMs = RESTORE_MS) => {
      restoreUntilMs = Math.max(restoreUntilMs, nowMs + leftMs);
    },
    restoreLeftMs: nowMs => Math.max(0, restoreUntilMs - nowMs),
    departedEntries: () => [...departed.values()].map(({entry}) => entry),
    learnDeparted,
    learnListed,
    withheldCount: () => withheld.size,
    expire,
  };
}

/** Whether one entry of a target was certainly written before the other. */
function isOlder(one: TargetEntry, other: TargetEntry): boolean {
  if (one.startedAtWallMs !== other.startedAtWallMs) {
    return one.startedAtWallMs < other.startedAtWallMs;
  }
  return (
    one.sequence !== undefined &&
    other.sequence !== undefined &&
    one.sequence < other.sequence
  );
}

function incarnationOf(entry: TargetEntry): string {
  return `${entry.id}@${entry.startedAtWallMs}@${entry.host}:${entry.port}`;
}
