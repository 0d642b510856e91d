import {requestIdSchema} from '@ibisbeam/decision';
import {operatorError} from '@ibisbeam/library';
import {EitherAsync, Left} from 'purify-ts';
import {askJournals} from '../core/ask_journals.js';
import {defineCommand} from '../core/command.js';
import {describeEntries, mergeEntries} from '../core/journal_text.js';
import {parseName} from '../core/parse_inputs.js';

/** Tells what the fleet did with one request, and why. */
export const explainCommand = defineCommand({
  command: 'explain <request-id>',
  describe: 'What the VMs did with one request, and why',
  options: builder =>
    builder.positional('request-id', {type: 'string', demandOption: true}),
  run: (session, options) =>
    EitherAsync(async ({liftEither, fromPromise}) => {
      const request = await liftEither(
        parseName('request-id', requestIdSchema, options.requestId),
      );
      const path = `/v1/explain/${encodeURIComponent(request)}`;
      const what = `request ${request}`;
      const {answers, silent} = await fromPromise(
        askJournals(session, path, what).run(),
      );
      if (answers.length === 0) {
        const asked =
          silent.length > 0
            ? `the journals that answered; silent: ${silent.join('; ')}`
            : 'the journals, which are bounded and end with their VM';
        return liftEither(
          Left([operatorError('NotFound', {what, where: asked})]),
        );
      }
      const entries = mergeEntries(answers);
      return {
        text: describeEntries(entries),
        data: {request, entries, silent},
        warnings: silent.map(told => `no answer from ${told}`),
      };
    }),
});
