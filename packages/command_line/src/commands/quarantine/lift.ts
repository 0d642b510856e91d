import {
  fingerprintSchema,
  liftQuarantineResponseSchema,
  createOperatorError,
} from '@ibisbeam/library';
import {EitherAsync, Left} from 'purify-ts';
import {fleetPorts} from '../../core/query_journals.js';
import {defineCommand} from '../../core/command.js';
import {callPorts} from '../../core/operator_client.js';
import {parseName} from '../../core/parse_inputs.js';
import {requireOperator} from '../../core/session.js';

/** Lifts the quarantine of a request at all VMs. */
export const quarantineLiftCommand = defineCommand({
  command: 'lift <fingerprint>',
  describe: 'Let a quarantined request run again',
  options: builder =>
    builder.positional('fingerprint', {type: 'string', demandOption: true}),
  run: (session, options) =>
    EitherAsync(async ({liftEither, fromPromise}) => {
      const fingerprint = await liftEither(
        parseName('fingerprint', fingerprintSchema, options.fingerprint),
      );
      await fromPromise(requireOperator(session, 'lifting a quarantine').run());
      const what = `quarantine ${fingerprint}`;
      if (session.dryRun) {
        return {
          text: `${what}: --dry-run, nothing was changed.`,
          data: {fingerprint, dryRun: true},
        };
      }
      const ports = await fromPromise(fleetPorts(session).run());
      const replies = await callPorts(session, ports, {
        method: 'DELETE',
        path: `/v1/quarantines/${encodeURIComponent(fingerprint)}`,
        schema: liftQuarantineResponseSchema,
        resource: what,
      });
      const lifted: string[] = [];
      const warnings: string[] = [];
      for (const {address, vm, result} of replies) {
        result
          .ifRight(answer => {
            lifted.push(answer.vm);
          })
          .ifLeft(errors => {
            if (errors[0]?.name !== 'NotFound') {
              const cause = errors[0]?.message ?? '';
              warnings.push(`no answer from ${vm ?? address}: ${cause}`);
            }
          });
      }
      if (lifted.length === 0) {
        const where = `the VMs that answered${warnings.length > 0 ? `; ${warnings.join('; ')}` : ''}`;
        return liftEither(
          Left([createOperatorError('NotFound', {what, where})]),
        );
      }
      return {
        text: `${what}: lifted at ${lifted.join(', ')}.`,
        data: {fingerprint, lifted},
        warnings,
      };
    }),
});
