/**
 * Local mirror of objects in the platform's store, updated by this VM's own
 * lists and watches and by batches from peers. Versions never decrease: each
 * object keeps its highest version, and a list or batch older than the mirror
 * changes nothing.
 */

/** An object of the store; `value` is not validated. */
export interface MirroredObject {
  readonly name: string;
  readonly version: number;
  readonly value: unknown;
}

export type MirrorEvent =
  | {readonly kind: 'put'; readonly object: MirroredObject}
  | {readonly kind: 'deleted'; readonly name: string; readonly version: number};

/** All mirrored objects as of one version of the store. */
export interface MirrorSnapshot {
  readonly version: number;
  readonly objects: readonly MirroredObject[];
}

/** Changes after version `from` up to `version` of the store. */
export interface MirrorBatch {
  readonly from: number;
  readonly version: number;
  readonly events: readonly MirrorEvent[];
}

export interface MirrorChange {
  readonly put: readonly MirroredObject[];
  readonly removed: readonly string[];
}

export interface StoreMirror {
  /** Store version of the mirror; -1 before the first snapshot. */
  version(): number;
  objects(): readonly MirroredObject[];
  snapshot(): MirrorSnapshot;
  applySnapshot(snapshot: MirrorSnapshot): MirrorChange;
  /** Returns `gap` if the batch starts after the version of the mirror. */
  applyBatch(batch: MirrorBatch): MirrorChange | 'gap';
}

const NO_CHANGE: MirrorChange = {put: [], removed: []};

export function createStoreMirror(): StoreMirror {
  let version = -1;
  const objects = new Map<string, MirroredObject>();

  function putIfNewer(object: MirroredObject): boolean {
    const known = objects.get(object.name);
    if (known && known.version >= object.version) {
      return false;
    }
    objects.set(object.name, object);
    return true;
  }

  function applySnapshot(snapshot: MirrorSnapshot): MirrorChange {
    if (snapshot.version < version) {
      return NO_CHANGE;
    }
    const listed = new Set<string>();
    const put: MirroredObject[] = [];
    for (const object of snapshot.objects) {
      listed.add(object.name);
      if (putIfNewer(object)) {
        put.push(object);
      }
    }
    const removed: string[] = [];
    for (const [name, object] of objects) {
      if (!listed.has(name) && object.version <= snapshot.version) {
        objects.delete(name);
        removed.push(name);
      }
    }
    version = snapshot.version;
    return {put, removed};
  }

  function applyBatch(batch: MirrorBatch): MirrorChange | 'gap' {
    if (batch.from > version) {
      return 'gap';
    }
    if (batch.version <= version) {
      return NO_CHANGE;
    }
    const put = new Map<string, MirroredObject>();
    const removed = new Set<string>();
    for (const event of batch.events) {
      if (event.kind === 'put') {
        if (event.object.version > version && putIfNewer(event.object)) {
          put.set(event.object.name, event.object);
          removed.delete(event.object.name);
        }
        continue;
      }
      const known = objects.get(event.name);
      if (known && event.version >= known.version) {
        objects.delete(event.name);
        put.delete(event.name);
        removed.add(event.name);
      }
    }
    version = batch.version;
    return {put: [...put.values()], removed: [...removed]};
  }

  return {
    version: () => version,
    objects: () => [...objects.values()],
    snapshot: () => ({version, objects: [...objects.values()]}),
    applySnapshot,
    applyBatch,
  };
}
