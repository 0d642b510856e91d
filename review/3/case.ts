/** Workers spoil the status lines of some of their answers. */
import {type ClientCall, createClient} from '../support/client.js';
import {buildConfiguration} from '../support/configuration.js';
import {createDeployment} from '../support/deployment.js';
import {holdsRuleLost} from '../support/lost_requests.js';
import {type CaseSurroundings, runCase} from '../support/run_case.js';
import {type Worker, startWorker} from '../support/worker.js';

const VM_ZONES = ['marmara-a', 'marmara-b', 'marmara-a', 'marmara-b'];
const WORKERS = 8;
/** Half of the workers spoil one answer in fifty. */
const SPOILING_WORKERS = 4;
const ANSWERS_PER_SPOILED = 50;
const SPOILING_AFTER_MS = 4_000;
const SPOILING_MS = 5_000;
const ROUNDS = 120;
const ROUND_INTERVAL_MS = 100;
const CALLS_PER_ROUND = 8;
const WORK_MS = 200;
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
  const {vms} = deployment;
  const client = createClient('client', timers, record);
  const soundWorkers: Worker[] = [];
  let isSpoiling = false;
  try {
    for (let index = 0; index < WORKERS; index += 1) {
      let answers = 0;
      const worker = await startWorker({
        id: `worker-${index}`,
        service: 'nobet-defteri',
        zone: VM_ZONES[index % VM_ZONES.length] ?? 'marmara-a',
        slots: 12,
        timers,
        record,
        workMs: () => WORK_MS,
        bodyBytes: () => 5_000,
        spoil: ({attemptId}, socket, head, body) => {
          if (!isSpoiling || index >= SPOILING_WORKERS) {
            return false;
          }
          answers += 1;
          const isSpoiled = answers % ANSWERS_PER_SPOILED === 0;
          if (isSpoiled) {
            record.add(`worker-${index} spoils its answer to ${attemptId}`);
            socket.write(head.replace('HTTP/1.1 200', 'HTTP/1.1 000'));
            socket.end(Buffer.concat([Buffer.from('\r\n'), body]));
          }
          return isSpoiled;
        },
      });
      deployment.addWorker(worker);
      if (index >= SPOILING_WORKERS) {
        soundWorkers.push(worker);
      }
    }
    await deployment.start(
      buildConfiguration([
        {
          name: 'shift-view',
          pathPrefix: '/shifts/',
          routeType: 'idempotent',
          service: 'nobet-defteri',
          timeoutMs: 3_000,
        },
      ]),
    );
    if (hasTrouble) {
      timers.after(SPOILING_AFTER_MS, () => {
        isSpoiling = true;
      });
      timers.after(SPOILING_AFTER_MS + SPOILING_MS, () => {
        isSpoiling = false;
      });
    }
    const calls: Promise<ClientCall>[] = [];
    for (let round = 0; round < ROUNDS; round += 1) {
      for (const vm of vms) {
        for (let index = 0; index < CALLS_PER_ROUND; index += 1) {
          calls.push(
            client.call(vm, {
              method: 'GET',
              path: `/shifts/${round}`,
              deadlineMs: DEADLINE_MS,
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
    return holdsRuleLost(ended, soundWorkers, record);
  } finally {
    client.close();
    await deployment.end();
  }
}

await runCase(play);
