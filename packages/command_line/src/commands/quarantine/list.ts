import {statusResponseSchema} from '@ibisbeam/library';
import {EitherAsync} from 'purify-ts';
import {fleetPorts} from '../../core/query_journals.js';
import {defineCommand} from '../../core/command.js';
import {callPorts} from '../../core/operator_client.js';
import {formatDuration, formatTable} from '@ibisbeam/library';

/** Lists quarantined requests, with the VMs that refuse them. */
export const quarantineListCommand = defineCommand({
  command: 'list',
  describe: 'List requests that are refused because they crashed targets',
  options: builder => builder,
  run: session =>
    EitherAsync(async ({fromPromise}) => {
      const ports = await fromPromise(fleetPorts(session).run());
      const replies = await callPorts(session, ports, {
        path: '/v1/status',
        schema: statusResponseSchema,
      });
      const found = new Map<
        string,
        {targetsLost: number; timeLeftMs: number; vms: string[]}
      >();
      const warnings: string[] = [];
      for (const {address, vm, result} of replies) {
        result
          .ifLeft(errors => {
            const cause = errors[0]?.message ?? '';
            warnings.push(`no answer from ${vm ?? address}: ${cause}`);
          })
          .ifRight(status => {
            for (const quarantine of status.quarantines) {
              const known = found.get(quarantine.fingerprint);
              const {targetsLost, timeLeftMs} = quarantine;
              found.set(quarantine.fingerprint, {
                targetsLost: Math.max(known?.targetsLost ?? 0, targetsLost),
                timeLeftMs: Math.max(known?.timeLeftMs ?? 0, timeLeftMs),
                vms: [...(known?.vms ?? []), status.vm],
              });
            }
          });
      }
      const quarantines = [...found].map(([fingerprint, rest]) => ({
        fingerprint,
        ...rest,
      }));
      const header = ['FINGERPRINT', 'TARGETS LOST', 'TIME LEFT', 'AT VMS'];
      const rows = quarantines.map(entry => [
        entry.fingerprint,
        String(entry.targetsLost),
        formatDuration(entry.timeLeftMs),
        entry.vms.join(', '),
      ]);
      const text =
        rows.length === 0 ? 'No quarantines.' : formatTable(header, rows);
      return {text, data: {quarantines}, warnings};
    }),
});
