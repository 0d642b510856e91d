/** The service-level burn of a demonstration, as the VMs count it. */
import {
  type BurnSummary,
  buildBurnReport,
  mergeBurnSummaries,
} from '@ibisbeam/decision';
import type {Demonstration} from './demonstration.js';

export async function printBurn(demonstration: Demonstration): Promise<void> {
  const {configuration, deployment, narrator, timers} = demonstration;
  narrator.heading('Service-level burn');
  const summaries: BurnSummary[] = [];
  for (const {kernel} of deployment.vms) {
    const summary = await kernel.ask<'burn', unknown>('burn', reply => ({
      kind: 'summary',
      reply,
    }));
    if (summary) {
      summaries.push(summary as BurnSummary);
    }
  }
  const report = buildBurnReport(
    configuration,
    mergeBurnSummaries([], summaries, []),
    timers.wallMs(),
  );
  for (const burn of report.services) {
    const {p50, p99} = burn.quantilesMs;
    narrator.happened(
      `${burn.service}: objective ${burn.objective.availability * 100} % answered; median ${p50} ms, 99th percentile ${p99} ms`,
    );
    for (const {reason, count} of burn.spent) {
      narrator.happened(`  spent on ${reason}: ${count}`);
    }
  }
  narrator.because(
    'the VMs that still run count their own requests; a stopped VM has left its summary in the store',
  );
}
