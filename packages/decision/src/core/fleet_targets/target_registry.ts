/**
 * The targets that the platform lists: their lives, drains, cold starts and
 * evacuated zones. A target that vanishes while the list itself is in doubt
 * is kept until the list has settled.
 */

export interface TargetEntry {
  /** Name under which the target is listed; may be used by several lives. */
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  /** Requests that the target runs at a time. */
  readonly slots: number;
  readonly draining: boolean;
  /** Milliseconds that the target stays cold, from when this was written. */
  readonly coldRemainingMs: number;
  /** Unix milliseconds of the start of this life. */
  readonly startedAtWallMs: number;
}

export interface RegisteredTarget {
  readonly entry: TargetEntry;
  /** Names one life: a target that starts anew gets another. */
  readonly incarnation: string;
  readonly region: string;
  /** Moment on the local clock until which it counts as cold. */
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
  /** Targets of the service that may get new requests. */
  usable(service: string): readonly RegisteredTarget[];
  isCold(target: RegisteredTarget, nowMs: number): boolean;
  put(entry: TargetEntry, nowMs: number): void;
  /** @param goneAtMs When the target is gone if it is not listed again. */
  remove(id: string, nowMs: number, goneAtMs: number): void;
  /** @param coldMs Time for which targets of a returned zone count as cold. */
  setEvacuated(
    zones: ReadonlySet<string>,
    nowMs: number,
    coldMs: (service: string) => number,
  ): void;
  evacuated(): ReadonlySet<string>;
  /** Drops the targets whose time has come. */
  expire(nowMs: number): void;
}

interface RegistryRecord {
  target: RegisteredTarget;
  removeAtMs?: number;
}

export function createTargetRegistry(
  options: TargetRegistryOptions,
): TargetRegistry {
  const slots = new Map<string, RegistryRecord>();
  const usableByService = new Map<string, readonly RegisteredTarget[]>();
  let evacuated: ReadonlySet<string> = new Set();

  function invalidate(service: string): void {
    usableByService.delete(service);
  }

  function put(entry: TargetEntry, nowMs: number): void {
    const known = slots.get(entry.id);
    const incarnation = incarnationOf(entry);
    const sameLife = known?.target.incarnation === incarnation;
    if (known && !sameLife) {
      options.onEvent({
        kind: 'target-removed',
        target: known.target,
        why: 'other incarnation',
      });
    }
    const statedUntilMs =
      entry.coldRemainingMs > 0 ? nowMs + entry.coldRemainingMs : 0;
    const coldUntilMs = sameLife
      ? Math.max(known.target.coldUntilMs, statedUntilMs)
      : statedUntilMs;
    const target: RegisteredTarget = {
      entry,
      incarnation,
      region: options.zoneRegions.get(entry.zone) ?? entry.zone,
      coldUntilMs,
    };
    slots.set(entry.id, {target});
    invalidate(entry.service);
    if (known) {
      invalidate(known.target.entry.service);
    }
    if (!known || !sameLife) {
      options.onEvent({kind: 'target-added', target});
    }
    if (entry.draining && !(sameLife && known.target.entry.draining)) {
      options.onEvent({kind: 'target-draining', target});
    }
    if (statedUntilMs > 0 && !(sameLife && known.target.coldUntilMs >= nowMs)) {
      options.onEvent({kind: 'target-cold', target});
    }
  }

  function drop(id: string, slot: RegistryRecord): void {
    slots.delete(id);
    invalidate(slot.target.entry.service);
    options.onEvent({
      kind: 'target-removed',
      target: slot.target,
      why: 'not listed',
    });
  }

  function remove(id: string, nowMs: number, goneAtMs: number): void {
    const slot = slots.get(id);
    if (!slot) {
      return;
    }
    if (goneAtMs <= nowMs) {
      drop(id, slot);
      return;
    }
    slot.removeAtMs = Math.min(slot.removeAtMs ?? Infinity, goneAtMs);
  }

  function setEvacuated(
    zones: ReadonlySet<string>,
    nowMs: number,
    coldMs: (service: string) => number,
  ): void {
    const returned = [...evacuated].filter(zone => !zones.has(zone));
    evacuated = zones;
    for (const slot of slots.values()) {
      const {target} = slot;
      if (!returned.includes(target.entry.zone)) {
        continue;
      }
      const untilMs = nowMs + coldMs(target.entry.service);
      slot.target = {
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
    for (const {target} of slots.values()) {
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
    for (const [id, slot] of slots) {
      if (slot.removeAtMs !== undefined && slot.removeAtMs <= nowMs) {
        drop(id, slot);
      }
    }
  }

  return {
    get: id => slots.get(id)?.target,
    all: () => [...slots.values()].map(slot => slot.target),
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
