/** A planned stop while clients send further requests before each answer. */
import {buildConfiguration} from '../support/configuration.js';
import {BOUNDS, createDeployment} from '../support/deployment.js';
import type {Resolution} from '../support/entry_vm_process.js';
import {
  type PipeliningConnection,
  openPipeliningConnection,
} from '../support/pipelining_client.js';
import {type CaseSurroundings, runCase} from '../support/run_case.js';
import {type Worker, startWorker} from '../support/worker.js';
import {CLIENT_HOST} from '../support/zones.js';

const VM_ZONES = ['marmara-a', 'marmara-a', 'marmara-b'];
const WORKERS = 9;
const WORK_MS = 240;
const TIMEOUT_MS = 3_000;
const DEADLINE_MS = 5_237;
const CLIENTS = 24;
/** Each third client keeps a directory's response three times as long. */
const LONG_KEEPERS_OF = 3;
const LONG_KEEP_FACTOR = 3;
/** A client sends a request each time, answered or not. */
const SEND_INTERVAL_MS = 80;
/** Requests that a client has sent and that are not answered yet. */
const MAXIMUM_OPEN_REQUESTS = 6;
const TERM_AFTER_MS = 500;
const PLAY_MS = 9_000;
const SECOND_MS = 1_000;
/** Of the rule: sent by then, with a worker at work in the last sixth. */
const EXCUSED_SENT_MS = 3_000;

interface SentCall {
  readonly attemptId: string;
  readonly connection: PipeliningConnection;
  readonly sentAtMs: number;
  isAnswered(): boolean;
}

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
  const [stopped, ...others] = deployment.vms;
  const workers: Worker[] = [];
  const sent: SentCall[] = [];
  if (!stopped) {
    throw new Error('there is no entry VM');
  }
  const address = `${stopped.host}:${stopped.front}`;
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
        bodyBytes: () => 400,
      });
      workers.push(worker);
      deployment.addWorker(worker);
    }
    await deployment.start(
      buildConfiguration([
        {
          name: 'shift-view',
          pathPrefix: '/shifts/',
          routeType: 'idempotent',
          service: 'nobet-defteri',
          timeoutMs: TIMEOUT_MS,
        },
      ]),
    );

    async function resolve(): Promise<Resolution | undefined> {
      for (const vm of others) {
        const resolution = await vm.resolve(CLIENT_HOST, 'marmara-a');
        if (resolution) {
          return resolution;
        }
      }
      return undefined;
    }

    /** Uses its connection until the directory no longer names the VM. */
    async function runClient(index: number): Promise<void> {
      const connection = await openPipeliningConnection(
        stopped as NonNullable<typeof stopped>,
        timers,
        record,
      );
      const factor = index % LONG_KEEPERS_OF === 0 ? LONG_KEEP_FACTOR : 1;
      const first = await resolve();
      const maximumMs = BOUNDS.ttl_max_s * SECOND_MS;
      const keepMs = Math.min(first?.lifetimeMs ?? 0, maximumMs) * factor;
      let resolvedAtMs = timers.nowMs();
      let count = 0;
      const endsAtMs = timers.nowMs() + PLAY_MS;
      while (connection.closedAtMs() === undefined) {
        if (timers.nowMs() > endsAtMs) {
          break;
        }
        if (timers.nowMs() - resolvedAtMs > keepMs) {
          const next = await resolve();
          if (next && !next.addresses.includes(address)) {
            record.add(`client-${index} no longer uses ${address}`);
            break;
          }
          resolvedAtMs = timers.nowMs();
        }
        const open = connection.calls.filter(
          call => call.answeredAtMs === undefined,
        ).length;
        if (
          open < MAXIMUM_OPEN_REQUESTS &&
          connection.closedAtMs() === undefined
        ) {
          count += 1;
          const attemptId = `client-${index}-${count}`;
          const call = connection.send(attemptId, {
            path: `/shifts/${count}`,
            deadlineMs: DEADLINE_MS,
          });
          sent.push({
            attemptId,
            connection,
            sentAtMs: call.sentAtMs,
            isAnswered: () => call.answeredAtMs !== undefined,
          });
        }
        await timers.sleep(SEND_INTERVAL_MS);
      }
      await timers.sleep(DEADLINE_MS);
    }

    const clients: Promise<void>[] = [];
    for (let index = 0; index < CLIENTS; index += 1) {
      clients.push(runClient(index));
    }
    await timers.sleep(TERM_AFTER_MS);
    const termAtMs = timers.nowMs();
    if (hasTrouble) {
      record.add(`SIGTERM for ${stopped.id}`);
      stopped.signal('SIGTERM');
    }
    await Promise.all(clients);

    const runs = new Map(
      workers.flatMap(({runs: own}) => own.map(run => [run.attemptId, run])),
    );
    const graceMs = BOUNDS.grace_s * SECOND_MS;
    let lost = 0;
    for (const call of sent) {
      const closedAtMs = call.connection.closedAtMs() ?? Infinity;
      const run = runs.get(call.attemptId);
      const isCut =
        hasTrouble &&
        !call.isAnswered() &&
        run !== undefined &&
        closedAtMs <= termAtMs + graceMs + SECOND_MS;
      if (!isCut || closedAtMs - call.sentAtMs > TIMEOUT_MS) {
        continue;
      }
      const isExcused =
        call.sentAtMs <= termAtMs + EXCUSED_SENT_MS &&
        (run.endedAtMs ?? Infinity) > termAtMs + (graceMs * 5) / 6;
      if (!isExcused) {
        lost += 1;
        record.add(
          `${call.attemptId}, sent ${Math.round(call.sentAtMs - termAtMs)} ms after SIGTERM, was run and cut ${Math.round(closedAtMs - termAtMs)} ms after it`,
        );
      }
    }
    record.add(`${sent.length} requests, ${lost} were cut in the stop`);
    return lost === 0;
  } finally {
    await deployment.end();
  }
}

await runCase(play);
