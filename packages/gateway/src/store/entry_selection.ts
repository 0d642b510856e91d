/**
 * Which objects of the store this VM keeps. Other writers may have left anything
 * among them, in any number: what has no use is judged while it is read, and is
 * neither kept nor passed on.
 */
import type {
  Logger,
  ObjectSelection,
  ReadObject,
  ValueLimits,
} from '@ibisbeam/library';
import type {GatewayProtocol} from '../core/protocol.js';
import type {StoreKind} from '../peers/messages.js';
import {MAXIMUM_VALUE_DEPTH, nameOf} from './mirror_objects.js';

export type EntrySelections = Readonly<Record<StoreKind, ObjectSelection>>;

export interface EntrySelectionOptions {
  readonly protocol: Pick<GatewayProtocol, 'configurationName' | 'trimTarget'>;
  readonly log: Logger;
}

/** Fits 1,000 members and 65,536 characters, escaped or not. */
const ENTRY_LIMITS: ValueLimits = {
  bytes: 524_288,
  values: 2_048,
  depth: MAXIMUM_VALUE_DEPTH,
};
/** Evacuations are read by their names alone. */
const NAMED_LIMITS: ValueLimits = {bytes: 0, values: 0, depth: 0};
const CONFIGURATION_LIMITS: ValueLimits = {
  bytes: 4_194_304,
  values: 250_000,
  depth: MAXIMUM_VALUE_DEPTH,
};
const MAXIMUM_ZONE_LENGTH = 64;
/** Refused entries whose last change is remembered, to log it once. */
const MAXIMUM_LOGGED_ENTRIES = 1_000;
const MAXIMUM_LOGGED_NAME_LENGTH = 128;

export function createEntrySelections(
  options: EntrySelectionOptions,
): EntrySelections {
  const {protocol} = options;
  const refusals = createRefusalLog(options.log);

  function selectTarget(object: ReadObject): {value: unknown} | undefined {
    const name = nameOf(object.key);
    const {content} = object;
    if (content.kind === 'refused') {
      refusals.record('targets', object, content.fault);
      return undefined;
    }
    return protocol
      .trimTarget(name, content.value)
      .ifLeft(cause => refusals.record('targets', object, cause))
      .map(value => ({value}))
      .toMaybe()
      .extract();
  }

  function selectEvacuation(object: ReadObject): {value: unknown} | undefined {
    if (nameOf(object.key).length > MAXIMUM_ZONE_LENGTH) {
      refusals.record('evacuations', object, 'the name is too long for a zone');
      return undefined;
    }
    return {value: null};
  }

  function selectConfiguration(
    object: ReadObject,
  ): {value: unknown} | undefined {
    const {key, content} = object;
    if (nameOf(key) !== protocol.configurationName) {
      return undefined;
    }
    switch (content.kind) {
      case 'refused':
        refusals.record('configuration', object, content.fault);
        return undefined;
      case 'value':
        return {value: content.value};
    }
  }

  return {
    targets: {limits: ENTRY_LIMITS, select: selectTarget},
    evacuations: {limits: NAMED_LIMITS, select: selectEvacuation},
    configuration: {limits: CONFIGURATION_LIMITS, select: selectConfiguration},
  };
}

interface RefusalLog {
  /** Logs the entry once a change, however often it is read. */
  record(of: StoreKind, object: ReadObject, cause: string): void;
}

function createRefusalLog(log: Logger): RefusalLog {
  const loggedVersions = new Map<string, number>();

  return {
    record: (of, {key, version, bytes}, cause) => {
      const logged = loggedVersions.get(key);
      if (logged !== undefined && logged >= version) {
        return;
      }
      // The entry that changed longest ago is forgotten first.
      loggedVersions.delete(key);
      loggedVersions.set(key, version);
      for (const oldest of loggedVersions.keys()) {
        if (loggedVersions.size <= MAXIMUM_LOGGED_ENTRIES) {
          break;
        }
        loggedVersions.delete(oldest);
      }
      const entry = nameOf(key).slice(0, MAXIMUM_LOGGED_NAME_LENGTH);
      if (of === 'targets') {
        log.log('warn', 'target-entry-refused', {target: entry, bytes, cause});
      } else {
        log.log('warn', 'store-entry-refused', {of, entry, bytes, cause});
      }
    },
  };
}
