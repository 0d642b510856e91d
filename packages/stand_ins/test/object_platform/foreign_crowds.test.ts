import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import type {LocalGateway} from '../../src/index.js';
import {
  type Harness,
  call,
  createConfiguration,
  startHarness,
  timers,
  waitUntil,
} from './harness.js';

const KINDS = ['servers', 'evacuations', 'config', 'vms'] as const;
const VALUE_BYTES = 1_048_576;
/** Bounds of the platform's rules, from the store's acknowledgement. */
const DRAIN_MS = 2_500;
const CONFIGURATION_MS = 2_500;
const EVACUATION_MS = 5_000;
const START_MS = 15_000;
const REWRITE_INTERVAL_MS = 100;

interface Crowd {
  readonly what: string;
  readonly count: number;
  /** JSON text of each entry. */
  readonly text: string;
  /** Whether the entries are written again and again. */
  readonly isRewritten?: boolean;
}

const ENTRY_FIELDS =
  '"service":"availability","address":"127.0.0.1:9","zone":"riga-a","slots":4,"state":"resting"';

const CROWDS: readonly Crowd[] = [
  {
    what: 'one of 300,000 numbers',
    count: 1,
    text: `{"readings":[0${',0'.repeat(299_999)}]}`,
  },
  {
    what: 'one of 300,000 numbers that changes all the time',
    count: 1,
    text: `{"readings":[0${',0'.repeat(299_999)}]}`,
    isRewritten: true,
  },
  {
    what: 'one of empty lists, as long as a value may be',
    count: 1,
    text: `{"a":[[]${',[]'.repeat(VALUE_BYTES / 3 - 100)}]}`,
  },
  {
    what: 'one as deep as a value may be',
    count: 1,
    text: '['.repeat(VALUE_BYTES / 2 - 100) + ']'.repeat(VALUE_BYTES / 2 - 100),
  },
  {
    what: 'twenty texts of 1,000,000 bytes',
    count: 20,
    text: `{"note":"${'x'.repeat(1_000_000)}"}`,
  },
  {
    what: 'a text of escaped quotes',
    count: 1,
    text: `{"note":"${'\\"'.repeat(500_000)}"}`,
  },
  {
    what: '3,000 that are much like a target',
    count: 3_000,
    text: `{${ENTRY_FIELDS}}`,
  },
  {
    what: '400 that are much like a target, and long',
    count: 400,
    text: `{${ENTRY_FIELDS},"note":"${'x'.repeat(40_000)}"}`,
  },
  {
    what: '200 sound ones with a long field of another writer',
    count: 200,
    text: `{${ENTRY_FIELDS.replace('resting', 'draining')},"cold_remaining_ms":0,"born":1,"note":"${'x'.repeat(60_000)}"}`,
  },
];

// Guards against one limit for the whole answer of the store, which one entry of
// another writer reaches on behalf of all others: VMs that start know no target,
// and VMs that run hear of no drain, evacuation or configuration.
describe('foreign entries that are large or many', () => {
  let harness: Harness;
  let gateways: LocalGateway[];
  let rewriting: {cancel(): void} | undefined;

  beforeEach(async () => {
    harness = await startHarness();
    gateways = [
      harness.gateway,
      await harness.fleet.addGateway('edge-riga-b-1', 'riga-b'),
      // Hears of changes from the other two.
      await harness.fleet.addGateway('edge-kurz-a-1', 'kurz-a'),
    ];
    await waitUntil(isServing);
  });
  afterEach(async () => {
    rewriting?.cancel();
    await harness.stop();
  });

  async function isServing(): Promise<boolean> {
    for (const gateway of gateways) {
      if ((await call(gateway)).status !== 200) {
        return false;
      }
    }
    return true;
  }

  function write(kind: string, {count, text}: Crowd): void {
    for (let index = 0; index < count; index += 1) {
      harness.fleet.store.putText(kind, `a-foreign-${index}`, text);
    }
  }

  function startWriting(kind: string, crowd: Crowd): void {
    write(kind, crowd);
    if (crowd.isRewritten) {
      rewriting = timers.every(REWRITE_INTERVAL_MS, () => write(kind, crowd));
    }
  }

  async function takesAtMost(
    boundMs: number,
    condition: () => Promise<boolean>,
  ): Promise<void> {
    const startedMs = timers.nowMs();
    await waitUntil(condition);
    const tookMs = timers.nowMs() - startedMs;
    assert.ok(tookMs <= boundMs, `took ${tookMs} ms, bound ${boundMs} ms`);
  }

  async function replaceTargets(): Promise<void> {
    const added = await harness.fleet.addTarget({
      id: 'i-later',
      service: 'availability',
      zone: 'riga-a',
      slots: 4,
    });
    for (const target of harness.targets) {
      const entry = target.entry({state: 'draining'});
      harness.fleet.store.put('servers', target.id, entry);
    }
    await takesAtMost(DRAIN_MS, async () => {
      for (const [index, gateway] of gateways.entries()) {
        const attemptId = `later-${index}-${added.runs.length}`;
        const {status} = await call(gateway, {attemptId});
        const hasRun = added.runs.some(run => run.attemptId === attemptId);
        if (status !== 200 || !hasRun) {
          return false;
        }
      }
      return true;
    });
  }

  async function configureOtherPath(): Promise<void> {
    const {routes, ...rest} = createConfiguration(30);
    const [first] = routes as Array<Record<string, unknown>>;
    harness.fleet.configure({
      ...rest,
      routes: [{...first, path_prefix: '/halls/'}],
    });
    await takesAtMost(CONFIGURATION_MS, async () => {
      for (const gateway of gateways) {
        const {status} = await call(gateway, {path: '/halls/1'});
        if (status !== 200) {
          return false;
        }
      }
      return true;
    });
    harness.fleet.configure(createConfiguration(31));
  }

  async function evacuateAll(): Promise<void> {
    const zones = ['riga-a', 'riga-b', 'kurz-a'];
    for (const zone of zones) {
      harness.fleet.store.put('evacuations', zone, {});
    }
    await takesAtMost(EVACUATION_MS, async () => {
      for (const gateway of gateways) {
        if ((await call(gateway)).status !== 503) {
          return false;
        }
      }
      return true;
    });
    for (const zone of zones) {
      harness.fleet.store.remove('evacuations', zone);
    }
    await waitUntil(isServing);
  }

  for (const kind of KINDS) {
    for (const crowd of CROWDS) {
      it(`hide no change from VMs that run (${kind}: ${crowd.what})`, async () => {
        startWriting(kind, crowd);
        await configureOtherPath();
        await evacuateAll();
        await replaceTargets();
      });

      it(`let VMs start (${kind}: ${crowd.what})`, async () => {
        startWriting(kind, crowd);
        harness.fleet.store.compact();
        for (const gateway of gateways) {
          await gateway.terminate();
        }
        const startedMs = timers.nowMs();
        gateways = [
          await harness.fleet.addGateway('edge-riga-a-2', 'riga-a'),
          await harness.fleet.addGateway('edge-kurz-a-2', 'kurz-a'),
        ];
        await waitUntil(isServing);
        assert.ok(timers.nowMs() - startedMs <= START_MS);
        await replaceTargets();
      });
    }
  }
});
