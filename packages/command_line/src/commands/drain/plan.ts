import {
  type Configuration,
  type Drain,
  type DrainCheck,
  checkDrain,
  describeScope,
  computeRegionDrainedAtMs,
} from '@ibisbeam/decision';
import {createOperatorError} from '@ibisbeam/library';
import {type Either, EitherAsync, Left, Right} from 'purify-ts';
import {defineCommand} from '../../core/command.js';
import {applyChange, readAccepted} from '../../core/configuration_access.js';
import type {Errors} from '../../core/dependencies.js';
import {buildChangeOutput} from '../../core/describe_change.js';
import {type FleetLoad, gatherLoad} from '../../core/operator_client.js';
import {
  invalidInput,
  parseDuration,
  parseInstant,
} from '../../core/parse_inputs.js';
import {type Session, requireOperator} from '../../core/session.js';
import {formatTimestamp, formatTable} from '@ibisbeam/library';
import {type ScopeOptions, readScope} from './scope.js';

/** Oldest start that is accepted as now; VM clocks differ by about 1 s. */
const MAX_START_AGE_MS = 60_000;
const DRAIN_ID_LENGTH = 8;
const ENDED_DRAIN_RETENTION_MS = 30 * 86_400_000;

/** Plans a drain, unless the remaining slots cannot carry the load. */
export const drainPlanCommand = defineCommand({
  command: 'plan',
  describe: 'Plan a drain; refused with figures when headroom is short',
  options: builder =>
    builder
      .option('target', {type: 'string', requiresArg: true})
      .option('service', {
        type: 'string',
        requiresArg: true,
        describe: 'Drain only this service in the zone',
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
        describe: 'Time over which traffic moves away from the scope',
      })
      .option('end', {
        type: 'string',
        requiresArg: true,
        describe: 'When the scope returns to service; if absent, when aborted',
      })
      .option('accept-unknown-load', {
        type: 'boolean',
        default: false,
        describe: 'Plan even if the load of some VMs is unknown',
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
      await liftEither(checkLoadKnown(fleet, options.acceptUnknownLoad));
      const check = await liftEither(
        checkPlan(session, configuration, drain, fleet),
      );
      const drains = [...retainedDrains(session, configuration), drain];
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
      const output = buildChangeOutput(
        `Drain ${drain.id} of ${scope}`,
        outcome,
        fleet,
      );
      return {
        ...output,
        text: `${describeCheck(configuration, drain, check)}\n${output.text}`,
        data: {...(output.data as object), drain, check},
      };
    }),
});

/** Drops drains that ended long ago, so that the section stays bounded. */
function retainedDrains(
  session: Session,
  configuration: Configuration,
): readonly Drain[] {
  const oldestMs =
    session.dependencies.timers.wallMs() - ENDED_DRAIN_RETENTION_MS;
  return configuration.drains.filter(drain => {
    const endedAtMs = drain.abortedAtMs ?? drain.endAtMs;
    return endedAtMs === undefined || endedAtMs >= oldestMs;
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
  const id = session.dependencies.uniqueId().slice(0, DRAIN_ID_LENGTH);
  return readScope(options).chain(scope =>
    parseInstant('--start', options.start, nowMs).chain(startAtMs =>
      parseDuration('--ramp', options.ramp).chain<Errors, Drain>(rampMs => {
        if (startAtMs < nowMs - MAX_START_AGE_MS) {
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
              const expected = `after ${formatTimestamp(startAtMs + rampMs)}, when the ramp ends`;
              return Left(invalidInput('--end', expected, options.end));
            }
            return Right({...drain, endAtMs});
          },
        );
      }),
    ),
  );
}

function checkLoadKnown(
  fleet: FleetLoad,
  acceptUnknownLoad: boolean,
): Either<Errors, void> {
  if (acceptUnknownLoad || fleet.unknown.length === 0) {
    return Right(undefined);
  }
  const errors = fleet.unknown.map(({vm, cause}) =>
    createOperatorError('LoadUnknown', {where: `VM ${vm}`, cause}),
  );
  return Left(errors);
}

function checkPlan(
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
        createOperatorError('NotFound', {
          what: describeScope(drain.scope),
          where: `the configuration (${check.problem})`,
        }),
      ]);
    case 'already-drained':
      return Left([
        createOperatorError('AlreadySo', {
          what: describeScope(drain.scope),
          state: `covered by drain ${check.by}`,
        }),
      ]);
    case 'too-large':
      return Left(
        check.refusals.map(figures =>
          createOperatorError('HeadroomMissing', {
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
  const drainedAt = formatTimestamp(drainedAtMs(configuration, drain));
  const end =
    drain.endAtMs === undefined
      ? 'until it is aborted'
      : `until ${formatTimestamp(drain.endAtMs)}`;
  return `${table}\nStarts ${formatTimestamp(drain.startAtMs)}, drained at ${drainedAt}, ${end}.`;
}

/** A region takes as long to drain as the shift caps of its services require. */
function drainedAtMs(configuration: Configuration, drain: Drain): number {
  return drain.scope.kind === 'region'
    ? computeRegionDrainedAtMs(configuration, drain)
    : drain.startAtMs + drain.rampMs;
}
