/** Prints the error-budget report of a demonstration from the VMs' summaries. */
import {
  type BurnSummary,
  buildBurnReport,
  mergeBurnSummaries,
} from '@ibisbeam/decision';
import type {Demonstration} from './demonstration.js';

export async function printBurn(demonstration: Demonstration): Promise<void> {
  const {configuration, deployment, reporter, timers} = demonstration;
  reporter.heading('Service-level burn');
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
    reporter.event(
      `${burn.service}: objective ${burn.objective.availability * 100} % answered; median ${p50} ms, 99th percentile ${p99} ms`,
    );
    for (const {reason, count} of burn.spent) {
      reporter.event(`  spent on ${reason}: ${count}`);
    }
  }
  reporter.reason(
    'running VMs report their own requests; a stopped VM has written its summary to the store',
  );
}
