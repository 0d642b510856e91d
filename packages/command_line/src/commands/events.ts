import {EitherAsync, Left, Right} from 'purify-ts';
import {askJournals} from '../core/ask_journals.js';
import {defineCommand} from '../core/command.js';
import {describeEntries, mergeEntries} from '../core/journal_text.js';
import {invalidInput, parseInstant} from '../core/parse_inputs.js';
import type {Errors} from '../core/dependencies.js';

const HIGHEST_LIMIT = 5_000;

/** Tells what the fleet did since a moment, oldest first. */
export const eventsCommand = defineCommand({
  command: 'events',
  describe: 'What the fleet did since a moment, such as the night',
  options: builder =>
    builder
      .option('since', {
        type: 'string',
        default: 'now-12h',
        requiresArg: true,
        describe: 'now-12h or an instant such as 2026-12-03T18:00:00Z',
      })
      .option('limit', {
        type: 'number',
        default: 1_000,
        requiresArg: true,
        describe: 'Newest entries of each VM that are shown, 1 to 5000',
      }),
  run: (session, {since, limit}) =>
    EitherAsync(async ({liftEither, fromPromise}) => {
      const nowMs = session.dependencies.timers.wallMs();
      const sinceMs = await liftEither(parseInstant('--since', since, nowMs));
      await liftEither(checkLimit(limit));
      const path = `/v1/events?since=${Math.max(0, sinceMs)}&limit=${limit}`;
      const {answers, silent} = await fromPromise(
        askJournals(session, path).run(),
      );
      const entries = mergeEntries(answers);
      const text =
        entries.length === 0 ? 'No events.' : describeEntries(entries);
      return {
        text,
        data: {entries, silent},
        warnings: silent.map(told => `no answer from ${told}`),
      };
    }),
});

function checkLimit(limit: number) {
  if (Number.isInteger(limit) && limit >= 1 && limit <= HIGHEST_LIMIT) {
    return Right<void, Errors>(undefined);
  }
  const expected = `an integer from 1 to ${HIGHEST_LIMIT}`;
  return Left<Errors, void>(invalidInput('--limit', expected, limit));
}
