import {
  type Drain,
  describeScope,
  drainProgress,
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
} from '../../core/table.js';

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
      const drains = accepted.configuration.drains.filter(
        drain => all || isDrainOpen(drain, nowMs),
      );
      const header = [
        'ID',
        'SCOPE',
        'STATE',
        'DRAINED',
        'TIME LEFT',
        'START',
        'BY',
      ];
      const rows = drains.map(drain => describeDrain(drain, nowMs));
      const text =
        drains.length === 0 ? 'No drains.' : formatTable(header, rows);
      const data = drains.map(drain => ({
        drain,
        progress: drainProgress(drain, nowMs),
      }));
      return {text, data: {drains: data}};
    }),
});

export function describeDrain(drain: Drain, nowMs: number): string[] {
  const progress = drainProgress(drain, nowMs);
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
