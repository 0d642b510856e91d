/** Converts store objects and peer messages to mirrored objects and events. */
import type {MirrorEvent, MirroredObject} from '@ibisbeam/decision';
import type {PlatformChange, PlatformObject} from '@ibisbeam/library';

/** Adds `value: undefined` where a peer message omits the value. */
export function normalizeObject(object: {
  name: string;
  version: number;
  value?: unknown;
}): MirroredObject {
  return {name: object.name, version: object.version, value: object.value};
}

/** Keys have the form KIND/NAME. */
function nameOf(key: string): string {
  return key.slice(key.indexOf('/') + 1);
}

export function toMirroredObject(object: PlatformObject): MirroredObject {
  return {
    name: nameOf(object.key),
    version: object.version,
    value: object.value,
  };
}

export function toMirrorEvent(change: PlatformChange): MirrorEvent {
  switch (change.kind) {
    case 'put':
      return {kind: 'put', object: toMirroredObject(change.object)};
    case 'deleted':
      return {
        kind: 'deleted',
        name: nameOf(change.key),
        version: change.version,
      };
  }
}
