/** Queries the entry VMs of the configuration in force. */
import {
  type EntryVm,
  type Generation,
  topologySchema,
} from '@ibisbeam/decision';
import * as z from 'zod';
import type {TaskContext} from '../kernel/index.js';
import type {ConfigurationStatus} from '../messages/index.js';

const topologySectionSchema = z.object({
  kind: z.literal('topology'),
  topology: topologySchema,
});

export interface ConfiguredEntryVms {
  readonly generation: Generation;
  readonly entryVms: readonly EntryVm[];
}

/**
 * Queries the configuration task. A restarted task calls this because it may
 * have missed the event `configuration-in-force`.
 *
 * @returns `undefined` before the first configuration is in force, or if the
 *     configuration task does not answer.
 */
export async function queryConfiguredEntryVms(
  context: Pick<TaskContext, 'ask'>,
): Promise<ConfiguredEntryVms | undefined> {
  const status = await context.ask<'configuration', ConfigurationStatus>(
    'configuration',
    reply => ({kind: 'status', reply}),
  );
  const section = topologySectionSchema.safeParse(
    status?.document?.get('topology'),
  );
  if (status?.generation === undefined || !section.success) {
    return undefined;
  }
  const {generation} = status;
  return {generation, entryVms: section.data.topology.entryVms};
}
