/** What is said of each VM, merged so that all who hear the same agree. */
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

/** With equal revisions the graver state wins. */
const RANK: Readonly<Record<VmState, number>> = {
  live: 0,
  leaving: 1,
  suspect: 2,
  gone: 3,
};

export type MergeResult = 'news' | 'known' | 'outdated';

export interface VmRecords {
  configure(entryVms: Iterable<EntryVm>): void;
  get(vm: VmId): VmRecord | undefined;
  all(): Iterable<VmRecord>;
  size(): number;
  merge(update: VmUpdate): MergeResult;
  updateOf(vm: VmId): VmUpdate | undefined;
  /** VMs that are other than live. */
  exceptions(): readonly VmId[];
  digest(): number;
  /** Counts up with each change. */
  changes(): number;
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
      // First heard of, and as assumed: a fleet that starts tells nobody.
      record.revision = revision;
      learnDetails(record, incarnation, generation);
      digest = undefined;
      return 'known';
    }
    if (revision === record.revision) {
      if (RANK[state] < RANK[record.state]) {
        return 'outdated';
      }
      if (RANK[state] === RANK[record.state]) {
        learnDetails(record, incarnation, generation);
        return 'known';
      }
    }
    record.revision = revision;
    record.state = state;
    learnDetails(record, incarnation, generation);
    changes += 1;
    digest = undefined;
    return 'news';
  }

  function learnDetails(
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

  function exceptions(): readonly VmId[] {
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
    exceptions,
    changes: () => changes,
    digest: () => {
      digest ??= computeDigest();
      return digest;
    },
  };
}
