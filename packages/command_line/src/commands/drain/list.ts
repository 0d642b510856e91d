import {
  type Drain,
  type DrainProgress,
  describeScope,
  computeEffectiveDrainProgress,
  isDrainOpen,
} from '@ibisbeam/decision';
import {EitherAsync} from 'purify-ts';
import {defineCommand} from '../../core/command.js';
import {readAccepted} from '../../core/configuration_access.js';
import {
  formatInstant,
  formatPercent,
  formatSpan,
  formatTable,
} from '@ibisbeam/library';

/** Lists planned and running drains with their progress. */
export const drainListCommand = defineCommand({
  command: 'list',
  describe: 'List drains with progress and time left',
  options: builder =>
    builder.option('all', {
      type: 'boolean',
      default: false,
      describe: 'Show ended and aborted drains as well',
    }),
  run: (session, {all}) =>
    EitherAsync(async ({fromPromise}) => {
      const accepted = await fromPromise(readAccepted(session).run());
      const nowMs = session.dependencies.timers.wallMs();
      const {configuration} = accepted;
      const drains: DrainWithProgress[] = [];
      for (const drain of configuration.drains) {
        const progress = computeEffectiveDrainProgress(
          configuration,
          drain,
          nowMs,
        );
        const shown = isDrainOpen(drain, nowMs) || progress.fraction > 0;
        if (all || shown) {
          drains.push({drain, progress});
        }
      }
      const header = [
        'ID',
        'SCOPE',
        'STATE',
        'DRAINED',
        'TIME LEFT',
        'START',
        'BY',
      ];
      const rows = drains.map(describeDrain);
      const text =
        drains.length === 0 ? 'No drains.' : formatTable(header, rows);
      return {text, data: {drains}};
    }),
});

export interface DrainWithProgress {
  readonly drain: Drain;
  readonly progress: DrainProgress;
}

export function describeDrain({drain, progress}: DrainWithProgress): string[] {
  return [
    drain.id,
    describeScope(drain.scope),
    progress.state,
    formatPercent(progress.fraction),
    progress.timeLeftMs === undefined ? '' : formatSpan(progress.timeLeftMs),
    formatInstant(drain.startAtMs),
    drain.plannedBy,
  ];
}
