/**
 * Clients that ask the directory where to connect, keep its answer for a while
 * and send requests at a steady rate, each once.
 */
import {createRandomSource} from '@ibisbeam/decision';
import type {FirstTry, LocalGateway} from '../../src/index.js';
import {call, get, timers} from './harness.js';

export interface DirectoryClients {
  readonly tries: readonly FirstTry[];
  /** Resolves when all requests have ended. */
  stop(): Promise<void>;
}

const CLIENT_COUNT = 30;
const CALL_INTERVAL_MS = 500;
const KEPT_MS = 2_000;
/** Some clients keep an answer for three times its lifetime. */
const LONG_KEPT_MS = 6_000;
const LONG_KEEPING_EVERY = 10;
const SEED = 31;

export function startDirectoryClients(
  gateways: readonly LocalGateway[],
  regions: readonly string[],
): DirectoryClients {
  const tries: FirstTry[] = [];
  const pending = new Set<Promise<void>>();
  const gatewayByAddress = new Map(
    gateways.map(gateway => [
      `${gateway.caller.host}:${gateway.caller.port}`,
      gateway,
    ]),
  );
  const random = createRandomSource(SEED);
  let stopped = false;

  function pick<Item>(items: readonly Item[]): Item | undefined {
    return items[random.below(items.length)];
  }

  async function resolve(region: string): Promise<readonly LocalGateway[]> {
    for (let attempt = 0; attempt < 3; attempt += 1) {
      const asked = pick(gateways);
      const path = `/resolve?name=rooms.example&region=${region}`;
      const answer = asked ? await get(asked.directory, path) : undefined;
      if (answer?.status === 200) {
        const {addresses} = JSON.parse(answer.body) as {addresses: string[]};
        return addresses.flatMap(
          address => gatewayByAddress.get(address) ?? [],
        );
      }
    }
    return [];
  }

  async function send(gateway: LocalGateway, key: string): Promise<void> {
    const sentAtMs = timers.nowMs();
    const {status} = await call(gateway, {key, deadlineMs: 1_000});
    tries.push({vm: gateway.id, sentAtMs, served: status === 200});
  }

  async function runClient(index: number): Promise<void> {
    const region = regions[index % regions.length] ?? '';
    const keptMs = index % LONG_KEEPING_EVERY === 0 ? LONG_KEPT_MS : KEPT_MS;
    let known: readonly LocalGateway[] = [];
    let askAtMs = -Infinity;
    await timers.sleep((index * CALL_INTERVAL_MS) / CLIENT_COUNT);
    while (!stopped) {
      if (timers.nowMs() >= askAtMs) {
        const answer = await resolve(region);
        known = answer.length > 0 ? answer : known;
        askAtMs = timers.nowMs() + keptMs;
      }
      const gateway = pick(known);
      if (gateway) {
        const sent = send(gateway, `client-${index}`);
        pending.add(sent);
        void sent.then(() => pending.delete(sent));
      }
      await timers.sleep(CALL_INTERVAL_MS);
    }
  }

  const clients: Promise<void>[] = [];
  for (let index = 0; index < CLIENT_COUNT; index += 1) {
    clients.push(runClient(index));
  }

  return {
    tries,
    stop: async () => {
      stopped = true;
      await Promise.all(clients);
      await Promise.all(pending);
    },
  };
}
