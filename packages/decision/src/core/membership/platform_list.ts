/** What the platform's lagging list adds to what heartbeats say. */
import type {RegionName, VmId} from '../model/index.js';
import type {VmUpdate} from './peer_messages.js';
import type {VmRecord, VmRecords} from './records.js';
import type {ListedVm} from './types.js';

/**
 * The list ends a suspicion, and tells that a live VM is about to leave. It
 * contradicts no heartbeat, since it may be older. The VMs of a silent region
 * are suspect as a whole.
 */
export function listUpdates(
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
    const unheard =
      record.state === 'suspect' || silentRegions.has(record.region);
    const update = listUpdate(record, byVm.get(record.vm), unheard);
    if (update) {
      updates.push(update);
    }
  }
  return updates;
}

function listUpdate(
  record: VmRecord,
  entry: ListedVm | undefined,
  unheard: boolean,
): VmUpdate | undefined {
  const {vm, revision} = record;
  const incarnation = record.incarnation ?? null;
  const generation = record.generation ?? null;
  const sameLife = incarnation === null || entry?.incarnation === incarnation;
  if (unheard && record.state !== 'gone' && (!entry || !sameLife)) {
    return [vm, incarnation, revision, 'gone', generation];
  }
  if (record.state === 'live' && entry?.state === 'leaving' && sameLife) {
    return [vm, entry.incarnation, revision, 'leaving', generation];
  }
  return undefined;
}
