import {
  type BurnReport,
  type BurnSummary,
  type Configuration,
  type VmId,
  buildBurnReport,
  burnKeyPrefixesOfDays,
  mergeBurnSummaries,
} from '@ibisbeam/decision';
import {
  type PlatformStore,
  burnResponseSchema,
  createOperatorError,
  parseBurnSummary,
} from '@ibisbeam/library';
import {EitherAsync, Left} from 'purify-ts';
import {renderBurnPage} from '../../core/burn_page/burn_page.js';
import {describeBurnReport} from '../../core/burn_text.js';
import {defineCommand} from '../../core/command.js';
import {readAccepted} from '../../core/configuration_access.js';
import {mapLimited} from '../../core/map_limited.js';
import {callPorts, operatorPortsOf} from '../../core/operator_client.js';
import {describePlatformError} from '../../core/publish_errors.js';
import type {Session} from '../../core/session.js';

const DAY_MS = 86_400_000;
const MAX_PARALLEL_LISTS = 4;
const PAGE_FILE_MODE = 0o644;

/** Reports the error budgets of every workspace and service. */
export const reportBurnCommand = defineCommand({
  command: 'burn',
  describe:
    'Report remaining error budgets, burn rates, worst hours and reasons',
  options: builder =>
    builder
      .option('workspace', {type: 'string', requiresArg: true})
      .option('service', {type: 'string', requiresArg: true})
      .option('html', {
        type: 'string',
        requiresArg: true,
        describe: 'Write a self-contained HTML page to this file as well',
      }),
  run: (session, {workspace, service, html}) =>
    EitherAsync(async ({liftEither, fromPromise}) => {
      const {dependencies} = session;
      const accepted = await fromPromise(readAccepted(session).run());
      const {configuration} = accepted;
      const nowMs = dependencies.timers.wallMs();
      const store = await liftEither(session.store());
      const stored = await readStoredSummaries(store, configuration, nowMs);
      const {live, unanswered} = await readLiveSummaries(
        session,
        configuration,
      );
      const summaries = mergeBurnSummaries(stored.summaries, live, unanswered);
      const fullReport = buildBurnReport(configuration, summaries, nowMs);
      const services = fullReport.services.filter(
        burn =>
          (workspace === undefined || burn.workspace === workspace) &&
          (service === undefined || burn.service === service),
      );
      if (services.length === 0) {
        const what = `${workspace ?? 'any workspace'} / ${service ?? 'any service'}`;
        const where = 'the configuration';
        await liftEither(
          Left([createOperatorError('NotFound', {what, where})]),
        );
      }
      const report: BurnReport = {...fullReport, services};
      if (html !== undefined && !session.dryRun) {
        const page = renderBurnPage(report);
        const options = {mode: PAGE_FILE_MODE, replace: true};
        await liftEither(dependencies.writeFile(html, page, options));
      }
      return {
        text: describeBurnReport(report),
        data: report,
        warnings: stored.problems,
      };
    }),
});

interface StoredSummaries {
  readonly summaries: readonly BurnSummary[];
  readonly problems: readonly string[];
}

/**
 * Reads the summaries of the longest objective window, day by day. Days that
 * cannot be read and invalid objects are listed as problems.
 */
async function readStoredSummaries(
  store: PlatformStore,
  configuration: Configuration,
  nowMs: number,
): Promise<StoredSummaries> {
  const prefixes = burnKeyPrefixesOfDays(
    nowMs - longestWindowDays(configuration) * DAY_MS,
    nowMs,
  );
  const summaries: BurnSummary[] = [];
  const problems: string[] = [];
  await mapLimited(prefixes, MAX_PARALLEL_LISTS, async prefix => {
    const listed = await store.list(prefix, {purpose: 'operator'}).run();
    listed
      .ifLeft(error => {
        problems.push(
          `the summaries of ${prefix} are missing: ${describePlatformError(error)}`,
        );
      })
      .ifRight(({objects}) => {
        for (const object of objects) {
          const summary = parseBurnSummary(object);
          if (summary) {
            summaries.push(summary);
          } else {
            problems.push(
              `${object.key} is not a valid summary and was left out`,
            );
          }
        }
      });
  });
  return {summaries, problems};
}

function longestWindowDays(configuration: Configuration): number {
  let longest = 1;
  for (const services of configuration.workspaces.values()) {
    for (const {policy} of services.values()) {
      longest = Math.max(longest, policy.objective.windowDays);
    }
  }
  return longest;
}

async function readLiveSummaries(
  session: Session,
  configuration: Configuration,
): Promise<{
  readonly live: readonly BurnSummary[];
  readonly unanswered: readonly VmId[];
}> {
  const replies = await callPorts(session, operatorPortsOf(configuration), {
    path: '/v1/burn',
    schema: burnResponseSchema,
  });
  const live: BurnSummary[] = [];
  const unanswered: VmId[] = [];
  for (const {vm, result} of replies) {
    result
      .ifRight(summary => {
        live.push(summary);
      })
      .ifLeft(() => {
        if (vm !== undefined) {
          unanswered.push(vm);
        }
      });
  }
  return {live, unanswered};
}
