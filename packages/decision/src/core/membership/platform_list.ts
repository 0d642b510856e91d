/** Membership updates derived from the platform's VM list. */
import type {RegionName, VmId} from '../model/index.js';
import type {VmUpdate} from './peer_messages.js';
import type {VmRecord, VmRecords} from './records.js';
import type {ListedVm} from './types.js';

/**
 * A suspected VM is gone if the list omits it or lists another incarnation. A
 * live VM becomes leaving if it is listed as leaving. A live VM that the list
 * omits stays live, since the list may be older than its heartbeats. All VMs of
 * a silent region count as suspected.
 */
export function updatesFromList(
  records: VmRecords,
  listed: readonly ListedVm[],
  self: VmId,
  silentRegions: ReadonlySet<RegionName>,
): readonly VmUpdate[] {
  const byVm = new Map(listed.map(entry => [entry.vm, entry]));
  const updates: VmUpdate[] = [];
  for (const record of records.all()) {
    if (record.vm === self) {
      continue;
    }
    const suspected =
      record.state === 'suspect' || silentRegions.has(record.region);
    const update = updateFromEntry(record, byVm.get(record.vm), suspected);
    if (update) {
      updates.push(update);
    }
  }
  return updates;
}

function updateFromEntry(
  record: VmRecord,
  entry: ListedVm | undefined,
  suspected: boolean,
): VmUpdate | undefined {
  const {vm, revision} = record;
  const incarnation = record.incarnation ?? null;
  const generation = record.generation ?? null;
  const sameIncarnation =
    incarnation === null || entry?.incarnation === incarnation;
  if (suspected && record.state !== 'gone' && (!entry || !sameIncarnation)) {
    return [vm, incarnation, revision, 'gone', generation];
  }
  if (
    record.state === 'live' &&
    entry?.state === 'leaving' &&
    sameIncarnation
  ) {
    return [vm, entry.incarnation, revision, 'leaving', generation];
  }
  return undefined;
}
