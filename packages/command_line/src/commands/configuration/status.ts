import {configurationResponseSchema} from '@ibisbeam/library';
import type {ConfigurationHead} from '@ibisbeam/decision';
import {EitherAsync} from 'purify-ts';
import {defineCommand} from '../../core/command.js';
import {readAccepted} from '../../core/configuration_access.js';
import {callPorts, operatorPortsOf} from '../../core/operator_client.js';
import {formatTimestamp, formatDuration, formatTable} from '@ibisbeam/library';

interface VmGeneration {
  readonly vm: string | undefined;
  readonly generation?: number;
  readonly state: 'current' | 'behind' | 'ahead' | 'silent';
  /** Milliseconds since the oldest change that the VM lacks. */
  readonly behindForMs?: number;
  readonly why: string;
}

/** Compares the generation of each VM with the accepted one. */
export const configurationStatusCommand = defineCommand({
  command: 'status',
  describe:
    'List VMs with their generation: which are behind, since when and why',
  options: builder => builder,
  run: session =>
    EitherAsync(async ({fromPromise}) => {
      const accepted = await fromPromise(readAccepted(session).run());
      const {stored, configuration} = accepted;
      const nowMs = session.dependencies.timers.wallMs();
      const replies = await callPorts(session, operatorPortsOf(configuration), {
        path: '/v1/configuration',
        schema: configurationResponseSchema,
      });
      const vms: VmGeneration[] = [];
      for (const {vm, result} of replies) {
        vms.push(
          result.caseOf<VmGeneration>({
            Left: errors => ({
              vm,
              state: 'silent',
              why: errors[0]?.message ?? '',
            }),
            Right: ({generation, why}) => ({
              vm,
              generation,
              ...compareGeneration(stored.head, generation ?? 0, nowMs),
              why,
            }),
          }),
        );
      }
      const header = ['VM', 'GENERATION', 'STATE', 'BEHIND FOR', 'WHY'];
      const rows = vms.map(entry => [
        entry.vm ?? '',
        entry.generation === undefined ? 'none' : String(entry.generation),
        entry.state,
        entry.behindForMs === undefined
          ? ''
          : formatDuration(entry.behindForMs),
        entry.why,
      ]);
      const last = stored.head?.writes.at(-1);
      const heading = last
        ? `Accepted: generation ${last.generation}, ${formatTimestamp(last.atMs)}, by ${last.author}: ${last.summary} (write ${last.writeId})`
        : 'No configuration accepted yet.';
      return {
        text: `${heading}\n${formatTable(header, rows)}`,
        data: {accepted: stored.head?.generation, lastWrite: last, vms},
      };
    }),
});

function compareGeneration(
  head: ConfigurationHead | undefined,
  generation: number,
  nowMs: number,
): Pick<VmGeneration, 'state' | 'behindForMs'> {
  const accepted = head?.generation ?? 0;
  if (generation === accepted) {
    return {state: 'current'};
  }
  if (generation > accepted) {
    // Accepted after the store was read and before the VM answered.
    return {state: 'ahead'};
  }
  const missed = head?.writes.find(write => write.generation > generation);
  return {
    state: 'behind',
    behindForMs: missed ? Math.max(0, nowMs - missed.atMs) : undefined,
  };
}
