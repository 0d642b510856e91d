/** Deletes summaries of this VM's place that no report reads any more. */
import {
  BURN_RETENTION_DAYS,
  type VmId,
  burnKeyPrefixesOfDays,
} from '@ibisbeam/decision';
import type {PlatformStore} from '../../core/platform/index.js';

const DAY_MS = 86_400_000;
/** A VM that was away on one day deletes that day's on the next ones. */
const COLLECTED_DAYS = 7;
const CALL_OPTIONS = {purpose: 'burn-summary'} as const;

/**
 * One list a collected day and one delete for each object found; failures are
 * left for the next day.
 *
 * @returns The number of objects that were deleted.
 */
export async function collectOldSummaries(
  platform: PlatformStore,
  vm: VmId,
  wallMs: number,
): Promise<number> {
  const newestMs = wallMs - BURN_RETENTION_DAYS * DAY_MS;
  const oldestMs = newestMs - (COLLECTED_DAYS - 1) * DAY_MS;
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
