/**
 * Registry of the targets in the platform's list, with their incarnations,
 * drains, cold starts and evacuated zones. A target that disappears from the
 * list while the list is unreliable is kept until the list is stable again.
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
}

export interface TargetRegistry {
  get(id: string): RegisteredTarget | undefined;
  all(): readonly RegisteredTarget[];
  /**
   * Targets of the service that may get new requests. The same array is
   * returned until they change.
   */
  usable(service: string): readonly RegisteredTarget[];
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
  /** Removes the targets whose removal is due. */
  expire(nowMs: number): void;
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

  function invalidate(service: string): void {
    usableByService.delete(service);
  }

  function put(entry: TargetEntry, nowMs: number): void {
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

  function drop(id: string, record: RegistryRecord): void {
    records.delete(id);
    invalidate(record.target.entry.service);
    options.onEvent({
      kind: 'target-removed',
      target: record.target,
      why: 'not listed',
    });
  }

  function remove(id: string, nowMs: number, removeAtMs: number): void {
    const record = records.get(id);
    if (!record) {
      return;
    }
    if (removeAtMs <= nowMs) {
      drop(id, record);
      return;
    }
    record.removeAtMs = Math.min(record.removeAtMs ?? Infinity, removeAtMs);
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
      const {entry} = target;
      if (entry.service !== service || entry.draining) {
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
        drop(id, record);
      }
    }
  }

  return {
    get: id => records.get(id)?.target,
    all: () => [...records.values()].map(record => record.target),
    usable,
    isCold: (target, nowMs) => nowMs < target.coldUntilMs,
    put,
    remove,
    setEvacuated,
    evacuated: () => evacuated,
    expire,
  };
}

function incarnationOf(entry: TargetEntry): string {
  return `${entry.id}@${entry.startedAtWallMs}@${entry.host}:${entry.port}`;
}
