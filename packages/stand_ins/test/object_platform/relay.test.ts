import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {type TargetReach, choosePeer} from '@ibisbeam/decision';
import type {LocalGateway} from '../../src/index.js';
import {
  type CallOptions,
  type Harness,
  HOST,
  call,
  countRuns,
  createConfiguration,
  get,
  startHarness,
  timers,
  waitUntil,
} from './harness.js';

/** Time until peers hear that a VM reaches no targets anymore. */
const REACH_NEWS_MS = 600;
/** More than a VM holds of one answer before it passes it on. */
const STREAMED_BYTES = 8_000_000;
/** Cancellation may take this long. */
const CANCELLATION_LIMIT_MS = 500;
const BOOKING: CallOptions = {method: 'POST', path: '/book/7', body: 'room=7'};

describe('a VM that reaches no targets', () => {
  let harness: Harness;
  let cutGateway: LocalGateway;

  beforeEach(async () => {
    harness = await startHarness({}, 2, {hasTargetLinks: true});
    cutGateway = await addCutGateway('edge-riga-b-1', 'riga-b');
  });
  afterEach(() => harness.stop());

  async function addCutGateway(
    id: string,
    zone: string,
  ): Promise<LocalGateway> {
    const gateway = await harness.fleet.addGateway(id, zone, {
      targetReach: () => 'cut-off',
    });
    await waitUntil(() => knowsServing(gateway, [harness.gateway]));
    return gateway;
  }

  /** Whether the gateway serves and knows that the others do. */
  async function knowsServing(
    gateway: LocalGateway,
    others: readonly LocalGateway[],
  ): Promise<boolean> {
    const answers = await Promise.all(
      ['riga', 'kurzeme'].map(region =>
        get(gateway.directory, `/resolve?name=${HOST}&region=${region}`),
      ),
    );
    const text = answers.map(({body}) => body).join(' ');
    return [gateway, ...others].every(({caller}) =>
      text.includes(`${caller.host}:${caller.port}`),
    );
  }

  function linesOf(event: string, attemptId: string): readonly string[] {
    return harness.logLines.filter(
      line =>
        line.includes(`event=${event}`) &&
        line.includes(`request=${attemptId} `),
    );
  }

  async function waitForRun(attemptId: string): Promise<void> {
    await waitUntil(() => countRuns(harness, attemptId) > 0);
  }

  async function configureHomes(homeRegions: readonly string[]): Promise<void> {
    const configuration = createConfiguration(2);
    const routes = configuration['routes'] as readonly object[];
    harness.fleet.configure({
      ...configuration,
      routes: routes.map(route => ({...route, home_regions: homeRegions})),
    });
    await waitUntil(
      () =>
        harness.logLines.filter(line => /in-force.*version=2/.test(line))
          .length >= 2,
    );
  }

  // Guards against refusals to the clients of a VM that lost its links to all
  // targets while other VMs reach them.
  it('has look-ups and bookings answered through a peer', async () => {
    const lookUp = await call(cutGateway, {
      attemptId: 'look-up',
      path: '/rooms/7?night=2',
      headers: {'X-Own': 'kept'},
    });
    assert.equal(lookUp.status, 200);
    assert.match(
      String(lookUp.headers['x-ibisbeam-response-seal']),
      /look-up$/,
    );
    const booking = await call(cutGateway, {...BOOKING, attemptId: 'booking'});
    assert.equal(booking.status, 200);
    assert.equal(booking.headers['x-ibisbeam-attempt-id'], 'booking');
    const runs = harness.targets.flatMap(target => target.runs);
    assert.equal(runs.length, 2);
    const lookUpRun = runs.find(run => run.attemptId === 'look-up');
    assert.equal(lookUpRun?.path, '/rooms/7?night=2');
    assert.ok((lookUpRun?.deadlineMs ?? Infinity) <= 1_000);
    assert.equal(runs.find(run => run.attemptId === 'booking')?.body, 'room=7');
    assert.match(
      String(linesOf('request-relayed', 'booking')[0]),
      /peer=edge-riga-a-1 reason=cut-off/,
    );
  });

  it('passes a long answer on through the peer', async () => {
    await harness.stop();
    harness = await startHarness({bodyBytes: STREAMED_BYTES}, 1);
    cutGateway = await addCutGateway('edge-riga-b-1', 'riga-b');
    const whole = await call(cutGateway, {path: '/packs/7'});
    assert.equal(whole.body.length, STREAMED_BYTES);
    assert.ok(whole.complete);
    harness.targets[0]?.plan('cut-short');
    const cutShort = await call(cutGateway, {path: '/packs/8'});
    assert.equal(cutShort.complete, false);
  });

  it('promises nothing for a booking whose answer the peer has lost', async () => {
    for (const target of harness.targets) {
      target.plan('answer-lost');
    }
    await harness.fleet
      .addGateway('edge-riga-a-2', 'riga-a')
      .then(other => waitUntil(() => knowsServing(cutGateway, [other])));
    const answer = await call(cutGateway, {...BOOKING, attemptId: 'lost'});
    assert.equal(answer.status, 502);
    assert.equal(answer.headers['x-ibisbeam-response-seal'], undefined);
    assert.equal(countRuns(harness, 'lost'), 1);
  });

  it('refuses a booking that the peer has refused, and it never ran', async () => {
    for (const target of harness.targets) {
      target.plan('shed', 'shed', 'shed', 'shed');
    }
    const answer = await call(cutGateway, {...BOOKING, attemptId: 'shed'});
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
    assert.equal(countRuns(harness, 'shed'), 0);
    assert.match(
      String(linesOf('relay-failed', 'shed')[0]),
      /outcome=not-executed/,
    );
  });

  it('names the request in its own answers to relayed requests only', async () => {
    const headers = {'X-Ibisbeam-Relayed-For': '10.0.0.1'};
    for (const path of ['/nowhere/', '/rooms/1']) {
      const relayed = await call(cutGateway, {path, attemptId: 'one', headers});
      assert.equal(relayed.status, path === '/nowhere/' ? 404 : 503);
      assert.equal(relayed.headers['x-ibisbeam-attempt-id'], 'one');
    }
    const direct = await call(cutGateway, {path: '/nowhere/'});
    assert.equal(direct.headers['x-ibisbeam-attempt-id'], undefined);
  });

  it('counts relayed requests by outcome', async () => {
    await call(cutGateway, {});
    const {network} = JSON.parse(cutGateway.settingsText) as {
      network: {internal_ports: readonly number[]};
    };
    const {body} = await get(
      {host: cutGateway.caller.host, port: network.internal_ports[1] ?? 0},
      '/metrics',
    );
    assert.match(
      body,
      /ibisbeam_relayed_requests_total\{service="availability",outcome="answered"\} 1/,
    );
  });

  it('runs a booking once though the peer dies, and repeats a look-up', async () => {
    const other = await harness.fleet.addGateway('edge-riga-a-2', 'riga-a');
    await waitUntil(() => knowsServing(cutGateway, [harness.gateway, other]));
    for (const target of harness.targets) {
      target.setWorkMs(300);
    }
    const attemptIds = attemptsThatStartAt('edge-riga-a-1');
    const booking = call(cutGateway, {...BOOKING, attemptId: attemptIds[0]});
    const lookUp = call(cutGateway, {attemptId: attemptIds[1]});
    await waitForRun(attemptIds[0] ?? '');
    await waitForRun(attemptIds[1] ?? '');
    await harness.gateway.terminate();
    assert.equal((await booking).status, 502);
    assert.equal(countRuns(harness, attemptIds[0]), 1);
    assert.equal((await lookUp).status, 200);
  });

  /** Two identifiers of requests for which the peer ranks first. */
  function attemptsThatStartAt(peerId: string): readonly string[] {
    const peers = ['edge-riga-a-1', 'edge-riga-a-2'].map(id => ({
      id,
      zone: 'riga-a',
      region: 'riga',
    }));
    const found: string[] = [];
    for (let index = 0; found.length < 2; index += 1) {
      const spreadKey = `try-${index}`;
      const chosen = choosePeer({
        peers,
        zone: 'riga-b',
        region: 'riga',
        homeRegions: [],
        excluded: new Set(),
        spreadKey,
      });
      if (chosen?.id === peerId) {
        found.push(spreadKey);
      }
    }
    return found;
  }

  it('moves on from a peer that refuses connections', async () => {
    const other = await harness.fleet.addGateway('edge-riga-a-2', 'riga-a');
    await waitUntil(() => knowsServing(cutGateway, [harness.gateway, other]));
    const [attemptId = ''] = attemptsThatStartAt('edge-riga-a-1');
    // A killed peer counts as serving until its heartbeats are missed.
    await harness.gateway.terminate();
    const answer = await call(cutGateway, {...BOOKING, attemptId});
    assert.equal(answer.status, 200);
    assert.equal(countRuns(harness, attemptId), 1);
    assert.match(
      String(linesOf('relay-failed', attemptId)[0]),
      /peer=edge-riga-a-1 outcome=not-sent/,
    );
  });

  it('gets the answer of a peer in a planned stop, and sends it no more', async () => {
    for (const target of harness.targets) {
      target.setWorkMs(300);
    }
    const booking = call(cutGateway, {...BOOKING, attemptId: 'in-flight'});
    await waitForRun('in-flight');
    const stopped = harness.gateway.gateway.stop();
    await waitUntil(
      async () => !(await knowsServing(cutGateway, [harness.gateway])),
    );
    assert.equal((await booking).status, 200);
    const later = await call(cutGateway, {attemptId: 'later'});
    assert.equal(later.status, 503);
    assert.equal(linesOf('request-relayed', 'later').length, 0);
    assert.equal((await call(harness.gateway, {})).status, 200);
    await stopped;
  });

  it('ends the target’s work when the client leaves', async () => {
    for (const target of harness.targets) {
      target.setWorkMs(900);
    }
    const answer = await call(cutGateway, {
      attemptId: 'left',
      abortAfterMs: 100,
    });
    assert.equal(answer.status, 0);
    assert.equal(countRuns(harness, 'left'), 1);
    const leftAtMs = timers.nowMs();
    await waitUntil(() =>
      harness.targets
        .flatMap(target => target.runs)
        .every(({cancelled}) => cancelled),
    );
    assert.ok(timers.nowMs() - leftAtMs < CANCELLATION_LIMIT_MS);
  });

  // Guards against requests that leave their home regions through a relay.
  it('relays a request only to its home regions', async () => {
    await configureHomes(['kurzeme']);
    const startMs = timers.nowMs();
    const refused = await call(cutGateway, {attemptId: 'homeless'});
    assert.equal(refused.status, 503);
    assert.ok(Number(refused.headers['retry-after']) > 0);
    assert.ok(timers.nowMs() - startMs < 200);
    assert.equal(linesOf('request-relayed', 'homeless').length, 0);

    const homeGateway = await harness.fleet.addGateway('edge-kurz', 'kurz-a');
    const homeTarget = await harness.fleet.addTarget({
      id: 'i-home',
      service: 'availability',
      zone: 'kurz-a',
      slots: 4,
    });
    await waitUntil(() => knowsServing(cutGateway, [homeGateway]));
    await waitUntil(
      () =>
        harness.logLines.filter(line =>
          /event=target-added.*target=i-home/.test(line),
        ).length >= 3,
    );
    const served = await call(cutGateway, {attemptId: 'at-home'});
    assert.equal(served.status, 200);
    assert.equal(homeTarget.runs.length, 1);
    assert.match(
      String(linesOf('request-relayed', 'at-home')[0]),
      /peer=edge-kurz/,
    );
  });

  it('refuses at once when every VM is cut off, with one hop for each try', async () => {
    const others = [
      await addCutGateway('edge-riga-b-2', 'riga-b'),
      await addCutGateway('edge-riga-b-3', 'riga-b'),
    ];
    await harness.gateway.terminate();
    await waitUntil(
      async () => !(await knowsServing(cutGateway, [harness.gateway])),
    );
    assert.ok(await knowsServing(cutGateway, others));
    const startMs = timers.nowMs();
    const answer = await call(cutGateway, {...BOOKING, attemptId: 'all-cut'});
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
    assert.ok(timers.nowMs() - startMs < 300);
    assert.equal(countRuns(harness, 'all-cut'), 0);
    const relayed = linesOf('request-relayed', 'all-cut');
    assert.ok(relayed.length >= 1 && relayed.length <= 2, `${relayed.length}`);
    assert.ok(relayed.every(line => !line.includes('peer=edge-riga-b-1 ')));
  });

  it('gives a client that claims to be a VM no second hop', async () => {
    const headers = {'X-Ibisbeam-Relayed-For': '10.0.0.1'};
    const refused = await call(cutGateway, {attemptId: 'claimed', headers});
    assert.equal(refused.status, 503);
    assert.equal(linesOf('request-relayed', 'claimed').length, 0);
    const served = await call(harness.gateway, {headers});
    assert.equal(served.status, 200);
  });

  it('relays a request that found no connection to any target', async () => {
    const gateway = await addPartitionedGateway('reaching');
    const answer = await call(gateway, {...BOOKING, attemptId: 'unconnected'});
    assert.equal(answer.status, 200);
    assert.match(
      String(linesOf('request-relayed', 'unconnected')[0]),
      /reason=reaching/,
    );
  });

  // Guards against refusals between the loss of all targets and its
  // confirmation: targets that take no connection are avoided.
  it('relays while a cut is suspected and no target may be tried', async () => {
    const gateway = await addPartitionedGateway('suspect');
    await call(gateway, {attemptId: 'unconnected'});
    const answer = await call(gateway, {attemptId: 'untried'});
    assert.equal(answer.status, 200);
    assert.match(
      String(linesOf('request-relayed', 'untried')[0]),
      /reason=suspect/,
    );
  });

  // Guards against requests that VMs pass to each other while targets are down.
  it('relays nothing while no peer reaches targets', async () => {
    const gateway = await addPartitionedGateway('suspect');
    for (const {targetLinks} of [harness.gateway, cutGateway]) {
      targetLinks?.cut('reset');
    }
    await waitUntil(() =>
      harness.logLines.some(line =>
        /event=target-reach.*to=suspect/.test(line),
      ),
    );
    await timers.sleep(REACH_NEWS_MS);
    const answer = await call(gateway, {attemptId: 'unserved'});
    assert.equal(answer.status, 503);
    assert.equal(linesOf('request-relayed', 'unserved').length, 0);
  });

  /** A gateway that reaches no target, and takes its links for this. */
  async function addPartitionedGateway(
    reach: TargetReach,
  ): Promise<LocalGateway> {
    const gateway = await harness.fleet.addGateway('edge-riga-a-2', 'riga-a', {
      fault: 'reset',
      targetReach: () => reach,
    });
    const {host, port} = harness.gateway.caller;
    await waitUntil(async () => {
      const path = `/resolve?name=${HOST}&region=riga`;
      const {body} = await get(gateway.directory, path);
      return body.includes(`${host}:${port}`);
    });
    return gateway;
  }
});
