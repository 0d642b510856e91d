import {
  type Configuration,
  type Drain,
  type DrainCheck,
  checkDrain,
  describeScope,
  computeRegionDrainedAtMs,
} from '@ibisbeam/decision';
import {operatorError} from '@ibisbeam/library';
import {type Either, EitherAsync, Left, Right} from 'purify-ts';
import {defineCommand} from '../../core/command.js';
import {applyChange, readAccepted} from '../../core/configuration_access.js';
import type {Errors} from '../../core/dependencies.js';
import {answerChange} from '../../core/describe_change.js';
import {type FleetLoad, gatherLoad} from '../../core/operator_client.js';
import {
  invalidInput,
  parseDuration,
  parseInstant,
} from '../../core/parse_inputs.js';
import {type Session, requireOperator} from '../../core/session.js';
import {formatInstant, formatTable} from '@ibisbeam/library';
import {type ScopeOptions, readScope} from './scope.js';

/** Clocks of VMs may differ by about a second; a start in the past may not. */
const LATEST_START_IN_PAST_MS = 60_000;
const IDENTIFIER_LENGTH = 8;
const ENDED_DRAIN_RETENTION_MS = 30 * 86_400_000;

/** Plans a drain, unless the slots that remain could not carry the load. */
export const drainPlanCommand = defineCommand({
  command: 'plan',
  describe: 'Plan a drain; refused with figures when headroom is short',
  options: builder =>
    builder
      .option('target', {type: 'string', requiresArg: true})
      .option('service', {
        type: 'string',
        requiresArg: true,
        describe: 'Only this service in the zone',
      })
      .option('zone', {
        type: 'string',
        requiresArg: true,
        describe: 'REGION/ZONE, such as riga/a',
      })
      .option('region', {type: 'string', requiresArg: true})
      .option('entry-vm', {type: 'string', requiresArg: true})
      .option('start', {
        type: 'string',
        default: 'now',
        requiresArg: true,
        describe: 'now, now+10m or an instant such as 2026-12-03T22:00:00Z',
      })
      .option('ramp', {
        type: 'string',
        default: '5m',
        requiresArg: true,
        describe: 'Time over which the scope gives its work up',
      })
      .option('end', {
        type: 'string',
        requiresArg: true,
        describe: 'When the scope takes work again; open if absent',
      })
      .option('accept-unknown-load', {
        type: 'boolean',
        default: false,
        describe: 'Plan although some VMs did not tell their load',
      }),
  run: (session, options) =>
    EitherAsync(async ({liftEither, fromPromise}) => {
      const operator = await fromPromise(
        requireOperator(session, 'planning a drain').run(),
      );
      const drain = await liftEither(
        readDrain(session, options, operator.name),
      );
      const accepted = await fromPromise(readAccepted(session).run());
      const {configuration, stored} = accepted;
      const fleet = await gatherLoad(session, configuration);
      await liftEither(loadProblems(fleet, options.acceptUnknownLoad));
      const check = await liftEither(
        runCheck(session, configuration, drain, fleet),
      );
      const drains = [...recentDrains(session, configuration), drain];
      const scope = describeScope(drain.scope);
      const summary = `drains: plan ${drain.id} of ${scope}`;
      const outcome = await fromPromise(
        applyChange(session, {
          base: stored,
          sections: new Map([['drains', {kind: 'drains', drains}]]),
          author: operator.name,
          summary,
          load: fleet.load,
        }).run(),
      );
      const answer = answerChange(
        `Drain ${drain.id} of ${scope}`,
        outcome,
        fleet,
      );
      return {
        ...answer,
        text: `${describeCheck(configuration, drain, check)}\n${answer.text}`,
        data: {...(answer.data as object), drain, check},
      };
    }),
});

/** Ended drains are forgotten, so that the section does not grow for ever. */
function recentDrains(
  session: Session,
  configuration: Configuration,
): readonly Drain[] {
  const oldestMs =
    session.dependencies.timers.wallMs() - ENDED_DRAIN_RETENTION_MS;
  return configuration.drains.filter(drain => {
    const overAtMs = drain.abortedAtMs ?? drain.endAtMs;
    return overAtMs === undefined || overAtMs >= oldestMs;
  });
}

interface PlanOptions extends ScopeOptions {
  readonly start: string;
  readonly ramp: string;
  readonly end: string | undefined;
}

function readDrain(
  session: Session,
  options: PlanOptions,
  plannedBy: string,
): Either<Errors, Drain> {
  const nowMs = session.dependencies.timers.wallMs();
  const id = session.dependencies.uniqueId().slice(0, IDENTIFIER_LENGTH);
  return readScope(options).chain(scope =>
    parseInstant('--start', options.start, nowMs).chain(startAtMs =>
      parseDuration('--ramp', options.ramp).chain<Errors, Drain>(rampMs => {
        if (startAtMs < nowMs - LATEST_START_IN_PAST_MS) {
          const expected = 'a start that is not in the past';
          return Left(invalidInput('--start', expected, options.start));
        }
        const drain = {id, scope, startAtMs, rampMs, plannedBy};
        if (options.end === undefined) {
          return Right(drain);
        }
        return parseInstant('--end', options.end, nowMs).chain<Errors, Drain>(
          endAtMs => {
            if (endAtMs <= startAtMs + rampMs) {
              const expected = `after ${formatInstant(startAtMs + rampMs)}, when the ramp ends`;
              return Left(invalidInput('--end', expected, options.end));
            }
            return Right({...drain, endAtMs});
          },
        );
      }),
    ),
  );
}

function loadProblems(
  fleet: FleetLoad,
  acceptUnknownLoad: boolean,
): Either<Errors, void> {
  if (acceptUnknownLoad || fleet.unknown.length === 0) {
    return Right(undefined);
  }
  const errors = fleet.unknown.map(({vm, cause}) =>
    operatorError('LoadUnknown', {where: `VM ${vm}`, cause}),
  );
  return Left(errors);
}

function runCheck(
  session: Session,
  configuration: Configuration,
  drain: Drain,
  fleet: FleetLoad,
): Either<Errors, DrainCheck> {
  const wallMs = session.dependencies.timers.wallMs();
  const check = checkDrain(configuration, drain, fleet.load, wallMs);
  switch (check.kind) {
    case 'fits':
      return Right(check);
    case 'unknown-scope':
      return Left([
        operatorError('NotFound', {
          what: describeScope(drain.scope),
          where: `the configuration (${check.problem})`,
        }),
      ]);
    case 'already-drained':
      return Left([
        operatorError('AlreadySo', {
          what: describeScope(drain.scope),
          state: `covered by drain ${check.by}`,
        }),
      ]);
    case 'too-large':
      return Left(
        check.refusals.map(figures =>
          operatorError('HeadroomMissing', {
            where: describeScope(drain.scope),
            figures,
            rows: check.rows,
          }),
        ),
      );
  }
}

function describeCheck(
  configuration: Configuration,
  drain: Drain,
  check: DrainCheck,
): string {
  const rows = check.kind === 'fits' ? check.rows : [];
  const header = ['SERVICE', 'REGION', 'SLOTS NOW', 'LEFT', 'IN USE', 'MOVE'];
  const table = formatTable(
    header,
    rows.map(row => [
      row.service,
      row.region,
      String(row.slotsNow),
      String(row.slotsLeft),
      String(row.inUse),
      String(row.overflow),
    ]),
  );
  const drainedAt = formatInstant(drainedAtMs(configuration, drain));
  const end =
    drain.endAtMs === undefined
      ? 'until it is aborted'
      : `until ${formatInstant(drain.endAtMs)}`;
  return `${table}\nStarts ${formatInstant(drain.startAtMs)}, drained at ${drainedAt}, ${end}.`;
}

/** A region's drain lasts as long as the shift caps of its services ask. */
function drainedAtMs(configuration: Configuration, drain: Drain): number {
  return drain.scope.kind === 'region'
    ? computeRegionDrainedAtMs(configuration, drain)
    : drain.startAtMs + drain.rampMs;
}
