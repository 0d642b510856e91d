import {
  describeScope,
  isDrainOpen,
  computeDrainProgress,
} from '@ibisbeam/decision';
import {createOperatorError} from '@ibisbeam/library';
import {EitherAsync, Left, Right} from 'purify-ts';
import {defineCommand} from '../../core/command.js';
import {applyChange, readAccepted} from '../../core/configuration_access.js';
import type {Errors} from '../../core/dependencies.js';
import {buildChangeOutput} from '../../core/describe_change.js';
import {requireOperator} from '../../core/session.js';
import {findDrain} from './find_drain.js';

/** Aborts a drain, so that its scope returns to service. */
export const drainAbortCommand = defineCommand({
  command: 'abort <id>',
  describe: 'Abort a planned or running drain',
  options: builder =>
    builder.positional('id', {type: 'string', demandOption: true}),
  run: (session, {id}) =>
    EitherAsync(async ({liftEither, fromPromise}) => {
      const operator = await fromPromise(
        requireOperator(session, 'aborting a drain').run(),
      );
      const accepted = await fromPromise(readAccepted(session).run());
      const {configuration, stored} = accepted;
      const nowMs = session.dependencies.timers.wallMs();
      const drain = await liftEither(
        findDrain(configuration, id).chain(found => {
          if (isDrainOpen(found, nowMs)) {
            return Right(found);
          }
          const what = `drain ${id}`;
          const {state} = computeDrainProgress(found, nowMs);
          return Left<Errors>([
            createOperatorError('AlreadySo', {what, state}),
          ]);
        }),
      );
      const drains = configuration.drains.map(other =>
        other.id === id ? {...other, abortedAtMs: nowMs} : other,
      );
      const summary = `drains: abort ${id} of ${describeScope(drain.scope)}`;
      const outcome = await fromPromise(
        applyChange(session, {
          base: stored,
          sections: new Map([['drains', {kind: 'drains', drains}]]),
          author: operator.name,
          summary,
          load: [],
        }).run(),
      );
      return buildChangeOutput(summary, outcome);
    }),
});
