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
  formatTimestamp,
  formatPercent,
  formatDuration,
  formatTable,
} from '@ibisbeam/library';

/**
 * Lists drains with their progress: those planned, in effect or returning to
 * service, and with `--all` those that are over as well.
 */
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
      const rows = drains.map(drainRow);
      const text =
        drains.length === 0 ? 'No drains.' : formatTable(header, rows);
      return {text, data: {drains}};
    }),
});

export interface DrainWithProgress {
  readonly drain: Drain;
  readonly progress: DrainProgress;
}

export function drainRow({drain, progress}: DrainWithProgress): string[] {
  return [
    drain.id,
    describeScope(drain.scope),
    progress.state,
    formatPercent(progress.fraction),
    progress.timeLeftMs === undefined
      ? ''
      : formatDuration(progress.timeLeftMs),
    formatTimestamp(drain.startAtMs),
    drain.plannedBy,
  ];
}
