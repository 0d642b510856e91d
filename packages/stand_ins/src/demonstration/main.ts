/** `npm start`: the whole system in one process, for a newcomer to watch. */
import {join, relative} from 'node:path';
import {
  createKeyValueLogger,
  createSilentLogger,
  createSystemTimerService,
} from '@ibisbeam/library';
import {writeOperatorFolder} from '../core/operator_folder/index.js';
import {runDemonstration, startDemonstration} from './demonstrate.js';
import type {Demonstration} from './demonstration.js';
import {createNarrator} from './narrator.js';
import {runPlatformDemonstration} from './platform_demonstration.js';
import {ceoltoiri, daugava} from './user_facts.js';

const keep = process.argv.includes('--keep');
const verbose = process.argv.includes('--logs');

const timers = createSystemTimerService();
const narrator = createNarrator(line => process.stdout.write(line));
const logger = verbose
  ? createKeyValueLogger({
      level: 'info',
      fields: {},
      write: line => process.stderr.write(line),
    })
  : createSilentLogger();

for (const facts of [daugava, ceoltoiri]) {
  const demonstration = await startDemonstration({
    facts,
    timers,
    logger,
    narrator,
  });
  if (keep) {
    printAddresses(demonstration);
    await printOperatorFolder(demonstration);
    continue;
  }
  await runDemonstration(demonstration);
  demonstration.caller.close();
  await demonstration.deployment.stop();
}

if (!keep) {
  await runPlatformDemonstration(timers, logger, narrator);
}

/** What to type to try it by hand. */
function printAddresses(demonstration: Demonstration): void {
  const {deployment, facts, token} = demonstration;
  const [first] = deployment.vms;
  const address = `http://${first!.entryVm.callerAddress}`;
  const base = `${address}/v1/workspaces/${facts.workspace}/services`;
  narrator.heading('Try it (ends with Control-C)');
  narrator.happened(`TOKEN=${token}`);
  narrator.happened(
    `curl -H "Authorization: Bearer $TOKEN" '${address}/v1/entry-vms?workspace=${facts.workspace}&service=${facts.reads.service}&client=${facts.clientAddress}'`,
  );
  narrator.happened(
    `curl -i -H "Authorization: Bearer $TOKEN" '${base}/${facts.reads.service}${facts.reads.path}'`,
  );
  narrator.happened(
    `curl -i -H "Authorization: Bearer $TOKEN" -H 'Idempotency-Key: my-first' -d '${facts.bookings.body}' ${base}/${facts.bookings.service}${facts.bookings.path}`,
  );
  narrator.happened(`platform: ${deployment.platformUrl}`);
}

/** How to act as operator, target owner and calling team. */
async function printOperatorFolder(
  demonstration: Demonstration,
): Promise<void> {
  const {deployment, facts} = demonstration;
  const owners = [...demonstration.configuration.services.values()];
  const file = await writeOperatorFolder({
    folder: join('.ibisbeam', facts.name),
    keys: deployment.keys,
    platformUrl: deployment.platformUrl,
    operatorPorts: deployment.vms.map(({entryVm}) => entryVm.operatorAddress),
    callerAddress: deployment.vms[0]!.entryVm.callerAddress,
    workspace: facts.workspace,
    owner: owners[0]!.owner,
    callingTeam: facts.team,
    newTeam: 'night-desk',
  });
  narrator.happened(
    `operators: . ${relative('.', file)} && npm run --silent ibisbeam -- status`,
  );
}
