/** An entry of another writer, whose address no worker can have. */
import {type ClientCall, createClient} from '../support/client.js';
import {buildConfiguration} from '../support/configuration.js';
import {createDeployment} from '../support/deployment.js';
import {holdsRuleLost} from '../support/lost_requests.js';
import {type CaseSurroundings, runCase} from '../support/run_case.js';
import {type Worker, startWorker} from '../support/worker.js';

const VM_ZONES = ['marmara-a', 'marmara-b', 'marmara-a', 'marmara-b'];
const WORKERS = 8;
const ROUNDS = 50;
const ROUND_INTERVAL_MS = 250;
const CALLS_PER_ROUND = 6;
const WORK_MS = 500;
const FORGED_AFTER_MS = 2_000;
const DEADLINE_MS = 5_237;
async function play({
  timers,
  record,
  hasTrouble,
}: CaseSurroundings): Promise<boolean> {
  const deployment = await createDeployment({
    timers,
    record,
    vmZones: VM_ZONES,
  });
  const {store, vms} = deployment;
  const client = createClient('client', timers, record);
  const workers: Worker[] = [];
  try {
    for (let index = 0; index < WORKERS; index += 1) {
      const worker = await startWorker({
        id: `worker-${index}`,
        service: 'nobet-defteri',
        zone: VM_ZONES[index % VM_ZONES.length] ?? 'marmara-a',
        slots: 9,
        timers,
        record,
        workMs: () => WORK_MS,
        bodyBytes: () => 1_500,
      });
      workers.push(worker);
      deployment.addWorker(worker);
    }
    await deployment.start(
      buildConfiguration([
        {
          name: 'shift-signup',
          pathPrefix: '/sign-ups/',
          routeType: 'non_idempotent',
          service: 'nobet-defteri',
          timeoutMs: 3_000,
        },
      ]),
    );
    if (hasTrouble) {
      timers.after(FORGED_AFTER_MS, () => {
        record.add('another writer writes servers/forged');
        // Its later heartbeats change nothing but the sequence.
        store.put('servers', 'forged', {
          service: 'nobet-defteri',
          address: '127.0.0.1:80808',
          zone: 'marmara-a',
          version: 'v1',
          slots: 4,
          state: 'ready',
          cold_remaining_ms: 0,
          sequence: 1,
          born: 1_700_000_000_000,
        });
      });
    }
    const calls: Promise<ClientCall>[] = [];
    for (let round = 0; round < ROUNDS; round += 1) {
      for (const vm of vms) {
        for (let index = 0; index < CALLS_PER_ROUND; index += 1) {
          calls.push(
            client.call(vm, {
              method: 'POST',
              path: `/sign-ups/${round}-${index}`,
              deadlineMs: DEADLINE_MS,
              body: Buffer.from('a sign-up'),
            }),
          );
        }
      }
      await timers.sleep(ROUND_INTERVAL_MS);
    }
    const ended = await Promise.all(calls);
    for (const vm of vms) {
      record.add(`${vm.id} ended by itself ${vm.ownEnds()} times`);
    }
    return holdsRuleLost(ended, workers, record);
  } finally {
    client.close();
    await deployment.end();
  }
}

await runCase(play);
