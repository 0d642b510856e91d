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
  burnAnswerSchema,
  operatorError,
  readSummary,
} from '@ibisbeam/library';
import {EitherAsync, Left} from 'purify-ts';
import {renderBurnPage} from '../../core/burn_page/burn_page.js';
import {describeBurnReport} from '../../core/burn_text.js';
import {defineCommand} from '../../core/command.js';
import {readAccepted} from '../../core/configuration_access.js';
import {mapLimited} from '../../core/map_limited.js';
import {callPorts, portsOf} from '../../core/operator_client.js';
import {describePlatform} from '../../core/publish_errors.js';
import type {Session} from '../../core/session.js';

const DAY_MS = 86_400_000;
const PARALLEL_LISTS = 4;
const PAGE_MODE = 0o644;

/** Service-level burn of every workspace and service. */
export const reportBurnCommand = defineCommand({
  command: 'burn',
  describe: 'Budgets left, burn rates, worst hours and what they were spent on',
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
      const {live, silent} = await readLiveSummaries(session, configuration);
      const joined = mergeBurnSummaries(stored.summaries, live, silent);
      const whole = buildBurnReport(configuration, joined, nowMs);
      const services = whole.services.filter(
        burn =>
          (workspace === undefined || burn.workspace === workspace) &&
          (service === undefined || burn.service === service),
      );
      if (services.length === 0) {
        const what = `${workspace ?? 'any workspace'} / ${service ?? 'any service'}`;
        const where = 'the configuration';
        await liftEither(Left([operatorError('NotFound', {what, where})]));
      }
      const report: BurnReport = {...whole, services};
      if (html !== undefined && !session.dryRun) {
        const page = renderBurnPage(report);
        const options = {mode: PAGE_MODE, replace: true};
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

/** Reads the days of the longest window; a day that fails is named. */
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
  await mapLimited(prefixes, PARALLEL_LISTS, async prefix => {
    const listed = await store.list(prefix, {purpose: 'operator'}).run();
    listed
      .ifLeft(error => {
        problems.push(
          `the summaries of ${prefix} are missing: ${describePlatform(error)}`,
        );
      })
      .ifRight(({objects}) => {
        for (const object of objects) {
          const summary = readSummary(object);
          if (summary) {
            summaries.push(summary);
          } else {
            problems.push(`${object.key} is not a summary and was left out`);
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
  readonly silent: readonly VmId[];
}> {
  const replies = await callPorts(session, portsOf(configuration), {
    path: '/v1/burn',
    schema: burnAnswerSchema,
  });
  const live: BurnSummary[] = [];
  const silent: VmId[] = [];
  for (const {vm, result} of replies) {
    result
      .ifRight(summary => {
        live.push(summary);
      })
      .ifLeft(() => {
        if (vm !== undefined) {
          silent.push(vm);
        }
      });
  }
  return {live, silent};
}
