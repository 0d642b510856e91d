/** `npm start`: the whole system in one process, for a newcomer to watch. */
import {
  createKeyValueLogger,
  createSilentLogger,
  createSystemTimerService,
} from '@ibisbeam/library';
import {
  type Demonstration,
  runDemonstration,
  startDemonstration,
} from './demonstrate.js';
import {createNarrator} from './narrator.js';
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
    continue;
  }
  await runDemonstration(demonstration);
  demonstration.caller.close();
  await demonstration.deployment.stop();
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
