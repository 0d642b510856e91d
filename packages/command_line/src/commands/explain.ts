import {requestIdSchema} from '@ibisbeam/decision';
import {createOperatorError} from '@ibisbeam/library';
import {type Either, EitherAsync, Left, Right} from 'purify-ts';
import {queryJournals} from '../core/query_journals.js';
import type {CommandOutput} from '../core/command_output.js';
import {defineCommand} from '../core/command.js';
import type {Dependencies, Errors} from '../core/dependencies.js';
import {describeEntries, mergeEntries} from '../core/journal_text.js';
import {describeRequestLog, findRequestLog} from '../core/request_log.js';
import {parseName} from '../core/parse_inputs.js';

/** Explains one request from the VMs' journals or from a log file. */
export const explainCommand = defineCommand({
  command: 'explain <request-id>',
  describe: 'Explain what the VMs did with one request, and why',
  options: builder =>
    builder
      .positional('request-id', {type: 'string', demandOption: true})
      .option('log', {
        type: 'string',
        describe: 'Read the log lines of this file, or - for standard input',
      }),
  run: (session, options) =>
    EitherAsync(async ({liftEither, fromPromise}) => {
      const request = await liftEither(
        parseName('request-id', requestIdSchema, options.requestId),
      );
      if (options.log !== undefined) {
        return liftEither(
          explainFromLog(session.dependencies, request, options.log),
        );
      }
      const path = `/v1/explain/${encodeURIComponent(request)}`;
      const what = `request ${request}`;
      const {answers, unanswered} = await fromPromise(
        queryJournals(session, path, what).run(),
      );
      if (answers.length === 0) {
        const searched =
          unanswered.length > 0
            ? `the journals that answered; no answer from ${unanswered.join('; ')}`
            : 'the journals, which are bounded and lost when their VM stops';
        return liftEither(
          Left([createOperatorError('NotFound', {what, where: searched})]),
        );
      }
      const entries = mergeEntries(answers);
      return {
        text: describeEntries(entries),
        data: {request, entries, silent: unanswered},
        warnings: unanswered.map(failure => `no answer from ${failure}`),
      };
    }),
});

/** Path of standard input on Linux and macOS. */
const STANDARD_INPUT = '/dev/stdin';

function explainFromLog(
  dependencies: Pick<Dependencies, 'readText'>,
  request: string,
  file: string,
): Either<Errors, CommandOutput> {
  const from = file === '-' ? STANDARD_INPUT : file;
  return dependencies.readText(from).chain(text => {
    const requestLog = findRequestLog(text.split('\n'), request);
    if (!requestLog) {
      const what = `request ${request}`;
      const where = `the log ${file}`;
      return Left([createOperatorError('NotFound', {what, where})]);
    }
    const lines = [...requestLog.requestLines, ...requestLog.contextLines].map(
      line => ({
        ...line,
        fields: Object.fromEntries(line.fields),
      }),
    );
    return Right({
      text: describeRequestLog(requestLog),
      data: {request, lines},
    });
  });
}
