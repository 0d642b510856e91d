import {
  type Configuration,
  type Drain,
  type ServiceLoad,
  computeEffectiveDrainProgress,
  scopeCoversTarget,
} from '@ibisbeam/decision';
import {EitherAsync} from 'purify-ts';
import {defineCommand} from '../../core/command.js';
import {readAccepted} from '../../core/configuration_access.js';
import {gatherLoad} from '../../core/operator_client.js';
import {formatTimestamp, formatTable} from '@ibisbeam/library';
import {findDrain} from './find_drain.js';
import {drainRow} from './list.js';

/** Shows one drain, the targets it covers and the load of their regions. */
export const drainShowCommand = defineCommand({
  command: 'show <id>',
  describe: 'Show one drain, what it covers and the load of its regions',
  options: builder =>
    builder.positional('id', {type: 'string', demandOption: true}),
  run: (session, {id}) =>
    EitherAsync(async ({liftEither, fromPromise}) => {
      const accepted = await fromPromise(readAccepted(session).run());
      const {configuration} = accepted;
      const drain = await liftEither(findDrain(configuration, id));
      const nowMs = session.dependencies.timers.wallMs();
      const fleet = await gatherLoad(session, configuration);
      const covered = listCoveredSlots(configuration, drain, fleet.load);
      const header = ['SERVICE', 'REGION', 'TARGETS', 'SLOTS', 'REGION IN USE'];
      const rows = covered.map(row => [
        row.service,
        row.region,
        String(row.targets),
        String(row.slots),
        String(row.regionInUse),
      ]);
      const progress = computeEffectiveDrainProgress(
        configuration,
        drain,
        nowMs,
      );
      const [, scope, state, fraction, timeLeft] = drainRow({
        drain,
        progress,
      });
      const lines = [
        `Drain ${drain.id} of ${scope}: ${state}, ${fraction} drained${timeLeft ? `, ${timeLeft} left` : ''}`,
        `Start ${formatTimestamp(drain.startAtMs)}, planned by ${drain.plannedBy}`,
      ];
      if (drain.endAtMs !== undefined) {
        lines.push(`End ${formatTimestamp(drain.endAtMs)}`);
      }
      if (rows.length > 0) {
        lines.push(formatTable(header, rows));
      }
      return {
        text: lines.join('\n'),
        data: {drain, progress, covered},
        warnings: fleet.unknown.map(
          ({vm, cause}) => `the load of VM ${vm} is unknown: ${cause}`,
        ),
      };
    }),
});

interface CoveredRow {
  readonly service: string;
  readonly region: string;
  readonly targets: number;
  readonly slots: number;
  readonly regionInUse: number;
}

function listCoveredSlots(
  configuration: Configuration,
  drain: Drain,
  load: readonly ServiceLoad[],
): readonly CoveredRow[] {
  const rows: CoveredRow[] = [];
  for (const service of configuration.services.values()) {
    for (const region of configuration.regions.keys()) {
      const covered = service.targets.filter(
        target =>
          target.region === region &&
          scopeCoversTarget(drain.scope, service.name, target),
      );
      if (covered.length === 0) {
        continue;
      }
      let slots = 0;
      for (const target of covered) {
        slots += target.slots;
      }
      let regionInUse = 0;
      for (const entry of load) {
        const matches =
          entry.service === service.name && entry.region === region;
        regionInUse += matches ? entry.inUse : 0;
      }
      const targets = covered.length;
      rows.push({service: service.name, region, targets, slots, regionInUse});
    }
  }
  return rows;
}
