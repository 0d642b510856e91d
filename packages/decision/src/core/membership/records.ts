/**
 * The known state of each VM. Updates are merged such that VMs that have
 * received the same updates agree on every state.
 */
import {
  type EntryVm,
  type Generation,
  type Incarnation,
  type RegionName,
  type VmId,
  type VmState,
  type ZoneName,
  incarnation as toIncarnation,
} from '../model/index.js';
import {hash32} from '../hashing/index.js';
import type {VmUpdate} from './peer_messages.js';

export interface VmRecord {
  readonly vm: VmId;
  readonly region: RegionName;
  readonly zone: ZoneName;
  incarnation?: Incarnation;
  revision: number;
  state: VmState;
  generation?: Generation;
}

/** Of two updates with equal revisions, the higher precedence wins. */
const STATE_PRECEDENCE: Readonly<Record<VmState, number>> = {
  live: 0,
  leaving: 1,
  suspect: 2,
  gone: 3,
};

/**
 * `news`: the state or revision changed, so the update is disseminated.
 * `known`: nothing to disseminate. `outdated`: the record is newer than the
 * update.
 */
export type MergeResult = 'news' | 'known' | 'outdated';

export interface VmRecords {
  configure(entryVms: Iterable<EntryVm>): void;
  get(vm: VmId): VmRecord | undefined;
  all(): Iterable<VmRecord>;
  size(): number;
  merge(update: VmUpdate): MergeResult;
  updateOf(vm: VmId): VmUpdate | undefined;
  /** VMs in any state but live. */
  notLive(): readonly VmId[];
  /** Hash over the id, revision and state of all VMs that are not live. */
  digest(): number;
  /** Number of changes to the records so far. */
  changeCount(): number;
}

export function createVmRecords(): VmRecords {
  let records = new Map<VmId, VmRecord>();
  let digest: number | undefined;
  let changes = 0;

  function configure(entryVms: Iterable<EntryVm>): void {
    const next = new Map<VmId, VmRecord>();
    for (const {id, region, zone} of entryVms) {
      const old = records.get(id);
      next.set(id, {
        state: 'live',
        revision: 0,
        ...old,
        vm: id,
        region,
        zone,
      });
    }
    records = next;
    changes += 1;
    digest = undefined;
  }

  function merge(update: VmUpdate): MergeResult {
    const [vm, incarnation, revision, state, generation] = update;
    const record = records.get(vm);
    if (!record) {
      return 'known';
    }
    if (revision < record.revision) {
      return 'outdated';
    }
    if (record.revision === 0 && record.state === state) {
      // The first report confirms the assumed state. It is not disseminated,
      // so that a starting fleet does not send an update for every VM.
      record.revision = revision;
      applyDetails(record, incarnation, generation);
      digest = undefined;
      return 'known';
    }
    if (revision === record.revision) {
      if (STATE_PRECEDENCE[state] < STATE_PRECEDENCE[record.state]) {
        return 'outdated';
      }
      if (STATE_PRECEDENCE[state] === STATE_PRECEDENCE[record.state]) {
        applyDetails(record, incarnation, generation);
        return 'known';
      }
    }
    record.revision = revision;
    record.state = state;
    applyDetails(record, incarnation, generation);
    changes += 1;
    digest = undefined;
    return 'news';
  }

  function applyDetails(
    record: VmRecord,
    incarnation: string | null,
    generation: Generation | null,
  ): void {
    if (incarnation !== null) {
      record.incarnation = toIncarnation(incarnation);
    }
    if (generation !== null) {
      record.generation = generation;
    }
  }

  function notLive(): readonly VmId[] {
    const found: VmId[] = [];
    for (const record of records.values()) {
      if (record.state !== 'live') {
        found.push(record.vm);
      }
    }
    return found;
  }

  function computeDigest(): number {
    let sum = 0;
    for (const record of records.values()) {
      if (record.state !== 'live') {
        const text = `${record.vm} ${record.revision} ${record.state}`;
        sum = (sum ^ hash32(text)) >>> 0;
      }
    }
    return sum;
  }

  return {
    configure,
    get: vm => records.get(vm),
    all: () => records.values(),
    size: () => records.size,
    merge,
    updateOf: vm => {
      const record = records.get(vm);
      if (!record) {
        return undefined;
      }
      const {incarnation, revision, state, generation} = record;
      return [vm, incarnation ?? null, revision, state, generation ?? null];
    },
    notLive,
    changeCount: () => changes,
    digest: () => {
      digest ??= computeDigest();
      return digest;
    },
  };
}
