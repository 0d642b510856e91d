/** Deletes summaries that are past the retention of the burn report. */
import {
  BURN_RETENTION_DAYS,
  type VmId,
  burnKeyPrefixesOfDays,
} from '@ibisbeam/decision';
import type {PlatformStore} from '../../core/platform/index.js';

const DAY_MS = 86_400_000;
/** More than one day, so that a VM that was down catches up afterwards. */
const CLEANUP_WINDOW_DAYS = 7;
const CALL_OPTIONS = {purpose: 'burn-summary'} as const;

/**
 * Deletes the expired summaries of one VM name, of all its incarnations. Makes
 * one list call per day of the cleanup window and one delete call per object;
 * failed deletes are retried on the next day.
 *
 * @returns The number of deleted objects.
 */
export async function deleteExpiredSummaries(
  platform: PlatformStore,
  vm: VmId,
  wallMs: number,
): Promise<number> {
  const newestMs = wallMs - BURN_RETENTION_DAYS * DAY_MS;
  const oldestMs = newestMs - (CLEANUP_WINDOW_DAYS - 1) * DAY_MS;
  let deleted = 0;
  for (const prefix of burnKeyPrefixesOfDays(oldestMs, newestMs)) {
    const listed = await platform.list(`${prefix}${vm}/`, CALL_OPTIONS).run();
    const objects = listed.toMaybe().extract()?.objects ?? [];
    for (const {key, version} of objects) {
      const result = await platform.delete(key, version, CALL_OPTIONS).run();
      deleted += result.isRight() ? 1 : 0;
    }
  }
  return deleted;
}
