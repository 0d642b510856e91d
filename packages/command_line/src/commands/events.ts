import {EitherAsync, Left, Right} from 'purify-ts';
import {queryJournals} from '../core/query_journals.js';
import {defineCommand} from '../core/command.js';
import {describeEntries, mergeEntries} from '../core/journal_text.js';
import {invalidInput, parseInstant} from '../core/parse_inputs.js';
import type {Errors} from '../core/dependencies.js';

const MAX_LIMIT = 5_000;

/** Lists the journal entries of all VMs since an instant, oldest first. */
export const eventsCommand = defineCommand({
  command: 'events',
  describe: 'List the events of all VMs since an instant',
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
        describe: 'Number of newest entries to show of each VM, 1 to 5000',
      }),
  run: (session, {since, limit}) =>
    EitherAsync(async ({liftEither, fromPromise}) => {
      const nowMs = session.dependencies.timers.wallMs();
      const sinceMs = await liftEither(parseInstant('--since', since, nowMs));
      await liftEither(checkLimit(limit));
      const path = `/v1/events?since=${Math.max(0, sinceMs)}&limit=${limit}`;
      const {answers, unanswered} = await fromPromise(
        queryJournals(session, path).run(),
      );
      const entries = mergeEntries(answers);
      const text =
        entries.length === 0 ? 'No events.' : describeEntries(entries);
      return {
        text,
        data: {entries, silent: unanswered},
        warnings: unanswered.map(failure => `no answer from ${failure}`),
      };
    }),
});

function checkLimit(limit: number) {
  if (Number.isInteger(limit) && limit >= 1 && limit <= MAX_LIMIT) {
    return Right<void, Errors>(undefined);
  }
  const expected = `an integer from 1 to ${MAX_LIMIT}`;
  return Left<Errors, void>(invalidInput('--limit', expected, limit));
}
