/**
 * Converts store objects and peer messages to mirrored objects and events. Other
 * writers may have left anything among them: what messages between VMs cannot
 * hold is left out, so that it hides no other object.
 */
import type {MirrorEvent, MirroredObject} from '@ibisbeam/decision';
import type {PlatformChange, PlatformObject} from '@ibisbeam/library';
import type {StoreKind} from '../peers/messages.js';

/** Earlier builds refuse messages that contain longer names. */
const MAXIMUM_NAME_LENGTH = 512;
/** Deeper values exhaust the stack where messages are written and read. */
export const MAXIMUM_VALUE_DEPTH = 32;

interface ValueLimits {
  /** Members of objects and lists, at all depths. */
  readonly members: number;
  /** Characters of texts and keys. */
  readonly characters: number;
}

const ENTRY_LIMITS: ValueLimits = {members: 1_000, characters: 65_536};
const CONFIGURATION_LIMITS: ValueLimits = {
  members: 200_000,
  characters: 2_097_152,
};

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
  kind: StoreKind,
  objects: readonly PlatformObject[],
): readonly MirroredObject[] {
  return objects
    .map(object => toMirroredObject(kind, object))
    .filter(hasUsableName);
}

/** Leaves out changes of objects whose names are too long. */
export function toMirrorEvents(
  kind: StoreKind,
  changes: readonly PlatformChange[],
): readonly MirrorEvent[] {
  return changes
    .map(change => toMirrorEvent(kind, change))
    .filter(isUsableEvent);
}

/** As `toMirroredObjects`, of objects that a peer has sent. */
export function fromPeerObjects(
  kind: StoreKind,
  objects: readonly PeerObject[],
): readonly MirroredObject[] {
  return objects
    .map(object => fromPeerObject(kind, object))
    .filter(hasUsableName);
}

/** As `toMirrorEvents`, of events that a peer has sent. */
export function fromPeerEvents(
  kind: StoreKind,
  events: readonly PeerEvent[],
): readonly MirrorEvent[] {
  return events.map(event => fromPeerEvent(kind, event)).filter(isUsableEvent);
}

/** Keys have the form KIND/NAME. */
export function nameOf(key: string): string {
  return key.slice(key.indexOf('/') + 1);
}

function toMirroredObject(
  kind: StoreKind,
  object: PlatformObject,
): MirroredObject {
  return {
    name: nameOf(object.key),
    version: object.version,
    value: usableValue(kind, object.value),
  };
}

function toMirrorEvent(kind: StoreKind, change: PlatformChange): MirrorEvent {
  switch (change.kind) {
    case 'put':
      return {kind: 'put', object: toMirroredObject(kind, change.object)};
    case 'deleted':
      return {
        kind: 'deleted',
        name: nameOf(change.key),
        version: change.version,
      };
  }
}

function fromPeerObject(
  kind: StoreKind,
  {name, version, value}: PeerObject,
): MirroredObject {
  return {name, version, value: usableValue(kind, value)};
}

function fromPeerEvent(kind: StoreKind, event: PeerEvent): MirrorEvent {
  switch (event.kind) {
    case 'put':
      return {kind: 'put', object: fromPeerObject(kind, event.object)};
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

/**
 * Undefined, which no reader accepts, in place of a value that is too deep or
 * too large.
 */
function usableValue(kind: StoreKind, value: unknown): unknown {
  const left = {...limitsOf(kind)};
  return isWithin(value, MAXIMUM_VALUE_DEPTH, left) ? value : undefined;
}

function limitsOf(kind: StoreKind): ValueLimits {
  switch (kind) {
    case 'targets':
    case 'evacuations':
      return ENTRY_LIMITS;
    case 'configuration':
      return CONFIGURATION_LIMITS;
  }
}

/** @param left What the value may still take; reduced by what it takes. */
function isWithin(
  value: unknown,
  depthLeft: number,
  left: {members: number; characters: number},
): boolean {
  if (typeof value === 'string') {
    left.characters -= value.length;
    return left.characters >= 0;
  }
  if (typeof value !== 'object' || value === null) {
    return true;
  }
  if (depthLeft === 0) {
    return false;
  }
  for (const [key, member] of Object.entries(value)) {
    left.members -= 1;
    left.characters -= Array.isArray(value) ? 0 : key.length;
    if (left.members < 0 || !isWithin(member, depthLeft - 1, left)) {
      return false;
    }
  }
  return left.characters >= 0;
}
