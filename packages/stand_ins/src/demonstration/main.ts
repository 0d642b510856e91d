/** `npm start`: runs the whole system in one process and explains each step. */
import {join, relative} from 'node:path';
import {
  createKeyValueLogger,
  createSilentLogger,
  createSystemTimerService,
} from '@ibisbeam/library';
import {writeOperatorFolder} from '../core/operator_folder/index.js';
import {runDemonstration, startDemonstration} from './demonstrate.js';
import type {Demonstration} from './demonstration.js';
import {createReporter} from './reporter.js';
import {runPlatformDemonstration} from './platform_demonstration.js';
import {ceoltoiri, daugava} from './scenarios.js';

const keepRunning = process.argv.includes('--keep');
const verbose = process.argv.includes('--logs');

const timers = createSystemTimerService();
const reporter = createReporter(line => process.stdout.write(line));
const logger = verbose
  ? createKeyValueLogger({
      level: 'info',
      fields: {},
      write: line => process.stderr.write(line),
    })
  : createSilentLogger();

for (const scenario of [daugava, ceoltoiri]) {
  const demonstration = await startDemonstration({
    scenario,
    timers,
    logger,
    reporter,
  });
  if (keepRunning) {
    printCommands(demonstration);
    await printOperatorFolder(demonstration);
    continue;
  }
  await runDemonstration(demonstration);
  demonstration.caller.close();
  await demonstration.deployment.stop();
}

if (!keepRunning) {
  await runPlatformDemonstration(timers, logger, reporter);
}

/** Prints commands for using the deployment by hand. */
function printCommands(demonstration: Demonstration): void {
  const {deployment, scenario, token} = demonstration;
  const [first] = deployment.vms;
  const address = `http://${first!.entryVm.callerAddress}`;
  const base = `${address}/v1/workspaces/${scenario.workspace}/services`;
  reporter.heading('Try it (ends with Control-C)');
  reporter.event(`TOKEN=${token}`);
  reporter.event(
    `curl -H "Authorization: Bearer $TOKEN" '${address}/v1/entry-vms?workspace=${scenario.workspace}&service=${scenario.reads.service}&client=${scenario.clientAddress}'`,
  );
  reporter.event(
    `curl -i -H "Authorization: Bearer $TOKEN" '${base}/${scenario.reads.service}${scenario.reads.path}'`,
  );
  reporter.event(
    `curl -i -H "Authorization: Bearer $TOKEN" -H 'Idempotency-Key: my-first' -d '${scenario.bookings.body}' ${base}/${scenario.bookings.service}${scenario.bookings.path}`,
  );
  reporter.event(`platform: ${deployment.platformUrl}`);
}

/** Writes the operator folder and prints how to use it. */
async function printOperatorFolder(
  demonstration: Demonstration,
): Promise<void> {
  const {deployment, scenario} = demonstration;
  const owners = [...demonstration.configuration.services.values()];
  const file = await writeOperatorFolder({
    folder: join('.ibisbeam', scenario.name),
    keys: deployment.keys,
    platformUrl: deployment.platformUrl,
    operatorPorts: deployment.vms.map(({entryVm}) => entryVm.operatorAddress),
    callerAddress: deployment.vms[0]!.entryVm.callerAddress,
    workspace: scenario.workspace,
    owner: owners[0]!.owner,
    callingTeam: scenario.team,
    newTeam: 'night-desk',
  });
  reporter.event(
    `operators: . ${relative('.', file)} && npm run --silent ibisbeam -- status`,
  );
}
