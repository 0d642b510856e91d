/** The entry VMs of the configuration in force, for a task that starts anew. */
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
 * A restarted task missed `configuration-in-force`; it asks instead.
 *
 * @returns Nothing before the first configuration is in force.
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
