import {requestIdSchema} from '@ibisbeam/decision';
import {operatorError} from '@ibisbeam/library';
import {type Either, EitherAsync, Left, Right} from 'purify-ts';
import {askJournals} from '../core/ask_journals.js';
import type {CommandAnswer} from '../core/answer.js';
import {defineCommand} from '../core/command.js';
import type {Dependencies, Errors} from '../core/dependencies.js';
import {describeEntries, mergeEntries} from '../core/journal_text.js';
import {describeStory, findStory} from '../core/log_story.js';
import {parseName} from '../core/parse_inputs.js';

/** Tells what the fleet did with one request, and why. */
export const explainCommand = defineCommand({
  command: 'explain <request-id>',
  describe: 'What the VMs did with one request, and why',
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

/** Linux and macOS give standard input this name. */
const STANDARD_INPUT = '/dev/stdin';

function explainFromLog(
  dependencies: Pick<Dependencies, 'readText'>,
  request: string,
  file: string,
): Either<Errors, CommandAnswer> {
  const from = file === '-' ? STANDARD_INPUT : file;
  return dependencies.readText(from).chain(text => {
    const story = findStory(text.split('\n'), request);
    if (!story) {
      const what = `request ${request}`;
      const where = `the log ${file}`;
      return Left([operatorError('NotFound', {what, where})]);
    }
    const plain = [...story.own, ...story.beliefs].map(line => ({
      ...line,
      fields: Object.fromEntries(line.fields),
    }));
    return Right({text: describeStory(story), data: {request, lines: plain}});
  });
}
