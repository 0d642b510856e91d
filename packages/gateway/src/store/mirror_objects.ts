/**
 * Converts store objects and peer messages to mirrored objects and events. Other
 * writers may have left anything among them: what messages between VMs cannot
 * hold is left out, so that it hides no other object.
 */
import type {MirrorEvent, MirroredObject} from '@ibisbeam/decision';
import type {PlatformChange, PlatformObject} from '@ibisbeam/library';

/** Earlier builds refuse messages that contain longer names. */
const MAXIMUM_NAME_LENGTH = 512;
/** Deeper values exhaust the stack where messages are written and read. */
const MAXIMUM_VALUE_DEPTH = 32;

interface PeerObject {
  readonly name: string;
  readonly version: number;
  readonly value?: unknown;
}

type PeerEvent =
  | {readonly kind: 'put'; readonly object: PeerObject}
  | {readonly kind: 'deleted'; readonly name: string; readonly version: number};

/** Leaves out objects whose names are too long. */
export function toMirroredObjects(
  objects: readonly PlatformObject[],
): readonly MirroredObject[] {
  return objects.map(toMirroredObject).filter(hasUsableName);
}

/** Leaves out changes of objects whose names are too long. */
export function toMirrorEvents(
  changes: readonly PlatformChange[],
): readonly MirrorEvent[] {
  return changes.map(toMirrorEvent).filter(isUsableEvent);
}

/** As `toMirroredObjects`, of objects that a peer has sent. */
export function fromPeerObjects(
  objects: readonly PeerObject[],
): readonly MirroredObject[] {
  return objects.map(fromPeerObject).filter(hasUsableName);
}

/** As `toMirrorEvents`, of events that a peer has sent. */
export function fromPeerEvents(
  events: readonly PeerEvent[],
): readonly MirrorEvent[] {
  return events.map(fromPeerEvent).filter(isUsableEvent);
}

/** Keys have the form KIND/NAME. */
function nameOf(key: string): string {
  return key.slice(key.indexOf('/') + 1);
}

function toMirroredObject(object: PlatformObject): MirroredObject {
  return {
    name: nameOf(object.key),
    version: object.version,
    value: usableValue(object.value),
  };
}

function toMirrorEvent(change: PlatformChange): MirrorEvent {
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

function fromPeerObject({name, version, value}: PeerObject): MirroredObject {
  return {name, version, value: usableValue(value)};
}

function fromPeerEvent(event: PeerEvent): MirrorEvent {
  switch (event.kind) {
    case 'put':
      return {kind: 'put', object: fromPeerObject(event.object)};
    case 'deleted':
      return event;
  }
}

function hasUsableName({name}: {readonly name: string}): boolean {
  return name.length <= MAXIMUM_NAME_LENGTH;
}

function isUsableEvent(event: MirrorEvent): boolean {
  switch (event.kind) {
    case 'put':
      return hasUsableName(event.object);
    case 'deleted':
      return hasUsableName(event);
  }
}

/** Undefined, which no reader accepts, in place of a value that is too deep. */
function usableValue(value: unknown): unknown {
  return isWithinDepth(value, MAXIMUM_VALUE_DEPTH) ? value : undefined;
}

function isWithinDepth(value: unknown, depthLeft: number): boolean {
  if (typeof value !== 'object' || value === null) {
    return true;
  }
  if (depthLeft === 0) {
    return false;
  }
  for (const member of Object.values(value)) {
    if (!isWithinDepth(member, depthLeft - 1)) {
      return false;
    }
  }
  return true;
}
