import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import type {FleetTarget} from '../../src/index.js';
import {
  type Harness,
  call,
  createConfiguration,
  startHarness,
  timers,
  waitUntil,
} from './harness.js';

/** Long enough for requests to be held until slots are free again. */
const LONG_TIMEOUT_MS = 20_000;
const WORK_MS = 400;
/** What was sent before a change may arrive so long after it. */
const DELIVERY_MS = 50;

describe('a request whose route gets home regions while it is being served', () => {
  let harness: Harness;
  let home: FleetTarget;

  beforeEach(async () => {
    harness = await startHarness();
    home = await harness.fleet.addTarget({
      id: 'i-home',
      service: 'availability',
      zone: 'kurz-a',
      slots: 4,
    });
    await waitUntil(() => hasLine(/event=target-added.*target=i-home/));
  });
  afterEach(() => harness.stop());

  function hasLine(pattern: RegExp): boolean {
    return harness.logLines.some(line => pattern.test(line));
  }

  /** Runs at targets that are not in the home region. */
  function runsAway(): number {
    return harness.targets.reduce((count, {runs}) => count + runs.length, 0);
  }

  /** Puts a configuration in force with these changes to all routes. */
  async function changeRoutes(
    version: number,
    changes: Readonly<Record<string, unknown>>,
  ): Promise<void> {
    const configuration = createConfiguration(version);
    const routes = configuration['routes'] as readonly object[];
    harness.fleet.configure({
      ...configuration,
      routes: routes.map(route => ({...route, ...changes})),
    });
    await waitUntil(() => hasLine(new RegExp(`in-force.*version=${version} `)));
  }

  async function addHomes(): Promise<void> {
    await waitUntil(() => runsAway() > 0);
    await changeRoutes(3, {home_regions: ['kurzeme']});
  }

  // Guards against a retry outside of the homes that came into force meanwhile.
  it('is tried again only in its homes', async () => {
    for (const target of harness.targets) {
      target.setWorkMs(300);
      target.plan('error-500');
    }
    const pending = call(harness.gateway, {key: '7'});
    await addHomes();
    const answer = await pending;
    assert.equal(answer.status, 200);
    assert.equal(home.runs.length, 1);
    assert.equal(runsAway(), 1);
  });

  // Guards against a hedge outside of the homes that came into force meanwhile.
  it('is hedged only in its homes', async () => {
    for (const target of harness.targets) {
      target.plan('silent');
    }
    const pending = call(harness.gateway, {key: '7'});
    await addHomes();
    const answer = await pending;
    assert.equal(answer.status, 200);
    assert.equal(home.runs.length, 1);
    assert.equal(runsAway(), 1);
  });

  // Guards against a request that leaves the waiting line by the homes of its
  // arrival.
  it('leaves the waiting line only for its homes', async () => {
    await changeRoutes(2, {timeout_ms: LONG_TIMEOUT_MS});
    for (const target of [...harness.targets, home]) {
      target.setWorkMs(WORK_MS);
    }
    const pending = Array.from({length: 40}, (_unused, index) =>
      call(harness.gateway, {key: String(index), deadlineMs: LONG_TIMEOUT_MS}),
    );
    await addHomes();
    const inForceMs = timers.nowMs();
    await Promise.all(pending);
    const late = harness.targets
      .flatMap(({arrivals}) => arrivals)
      .filter(({atMs}) => atMs > inForceMs + DELIVERY_MS);
    assert.deepEqual(
      late.map(({atMs}) => Math.round(atMs - inForceMs)),
      [],
    );
    assert.ok(home.runs.some(({atMs}) => atMs > inForceMs));
  });
});
