import assert from 'node:assert/strict';
import {request as httpRequest} from 'node:http';
import {afterEach, beforeEach, describe, it} from 'node:test';
import type {LocalGateway} from '../../src/index.js';
import {
  type Answer,
  type CallOptions,
  type Harness,
  HOST,
  call,
  countRuns,
  createConfiguration,
  startHarness,
  waitUntil,
} from './harness.js';

const API_KEY = 'first-key';
const FACULTY = {
  name: 'faculty',
  api_keys: [API_KEY, 'second-key'],
  priority: 0,
  rate_per_s: 0,
  burst: 0,
  home_regions: [],
};
const GUESTS = {...FACULTY, name: 'guests', api_keys: ['guest-key']};

describe('requests of workspaces', () => {
  let harness: Harness;
  let version: number;

  beforeEach(async () => {
    harness = await startHarness();
    version = 1;
    await configure({tenants: [FACULTY, GUESTS]});
  });
  afterEach(() => harness.stop());

  async function configure(
    overrides: Readonly<Record<string, unknown>>,
  ): Promise<void> {
    version += 1;
    harness.fleet.configure(createConfiguration(version, overrides));
    const inForce = new RegExp(`in-force.*version=${version} `);
    const vms = harness.logLines.filter(line => /event=vm-started/.test(line));
    await waitUntil(
      () =>
        harness.logLines.filter(line => inForce.test(line)).length >=
        vms.length,
    );
  }

  function callWith(
    headers: Readonly<Record<string, string>>,
    options: CallOptions = {},
    gateway: LocalGateway = harness.gateway,
  ): Promise<Answer> {
    return call(gateway, {...options, headers});
  }

  function runHeaders(attemptId: string) {
    const runs = harness.targets.flatMap(target => target.runs);
    return runs.find(run => run.attemptId === attemptId)?.headers;
  }

  it('reach targets with the workspace in place of the key', async () => {
    const answer = await callWith(
      {'X-API-KEY': API_KEY, 'X-Ibisbeam-Tenant-Name': 'guests'},
      {attemptId: 'named'},
    );
    assert.equal(answer.status, 200);
    const headers = runHeaders('named');
    assert.equal(headers?.['x-ibisbeam-tenant-name'], 'faculty');
    assert.equal(headers?.['x-api-key'], undefined);
    assert.ok(!harness.logLines.some(line => line.includes(API_KEY)));
  });

  // Guards against a process that ends with each request of a workspace whose name
  // has letters beyond Latin-1.
  it('reach targets with a name beyond Latin-1 written in UTF-8', async () => {
    const name = 'K\u0131z\u0131lay \u0130zmir';
    await configure({tenants: [FACULTY, {...GUESTS, name}]});
    const answer = await callWith(
      {'X-Api-Key': 'guest-key'},
      {attemptId: 'utf-8'},
    );
    assert.equal(answer.status, 200);
    const written = String(runHeaders('utf-8')?.['x-ibisbeam-tenant-name']);
    assert.equal(Buffer.from(written, 'latin1').toString('utf8'), name);
  });

  const refusedKeys: Readonly<Record<string, Record<string, string>>> = {
    'no key': {},
    'an unknown key': {'X-Api-Key': 'first-kez'},
    'an empty key': {'X-Api-Key': ''},
    'a key of eight kilobytes': {'X-Api-Key': 'k'.repeat(8_192)},
    'bytes outside of ASCII': {'X-Api-Key': 'cl\u00e9'},
    'a key and more': {'X-Api-Key': `${API_KEY}, second-key`},
    'only a workspace': {'X-Ibisbeam-Tenant-Name': 'faculty'},
  };
  for (const [name, headers] of Object.entries(refusedKeys)) {
    it(`are refused with ${name}, and not run`, async () => {
      const answer = await callWith(headers);
      assert.equal(answer.status, 401);
      assert.equal(countRuns(harness), 0);
    });
  }

  it('are refused with two keys, and not run', async () => {
    const {host, port} = harness.gateway.caller;
    const headers = ['Host', HOST, 'X-Api-Key', API_KEY, 'x-api-key', API_KEY];
    const status = await new Promise(resolve => {
      httpRequest({host, port, path: '/rooms/1', headers}, response => {
        response.resume();
        resolve(response.statusCode);
      }).end();
    });
    assert.equal(status, 401);
    assert.equal(countRuns(harness), 0);
  });

  it('need no key on a route that is exempt', async () => {
    const routes = createConfiguration(1)['routes'] as readonly object[];
    await configure({
      tenants: [FACULTY],
      routes: routes.map(route => ({...route, auth_exempt: true})),
    });
    const answer = await callWith(
      {'X-Ibisbeam-Tenant-Name': 'guests'},
      {attemptId: 'exempt'},
    );
    assert.equal(answer.status, 200);
    assert.equal(runHeaders('exempt')?.['x-ibisbeam-tenant-name'], undefined);
  });

  // Guards against a key that is removed while its request waits for a slot.
  it('that wait are refused once their key is removed', async () => {
    for (const target of harness.targets) {
      target.setWorkMs(600);
    }
    const routes = createConfiguration(1)['routes'] as readonly object[];
    const patient = routes.map(route => ({...route, timeout_ms: 10_000}));
    await configure({tenants: [FACULTY, GUESTS], routes: patient});
    const options = {deadlineMs: 10_000};
    const waiting = Array.from({length: 30}, (_unused, index) =>
      callWith({'X-Api-Key': API_KEY}, {...options, key: String(index)}),
    );
    await waitUntil(() => countRuns(harness) > 0);
    await configure({tenants: [GUESTS], routes: patient});
    const answers = await Promise.all(waiting);
    const refused = answers.filter(({status}) => status === 401);
    assert.ok(refused.length > 0);
    const served = answers.filter(({status}) => status === 200);
    assert.equal(served.length, countRuns(harness));
  });

  it('keep the older configuration if two workspaces share a key', async () => {
    const shared = createConfiguration(9, {
      tenants: [FACULTY, {...GUESTS, api_keys: [API_KEY]}],
    });
    harness.fleet.configure(shared);
    await waitUntil(() =>
      harness.logLines.some(line => /configuration-rejected.*share/.test(line)),
    );
    assert.equal((await callWith({'X-Api-Key': 'guest-key'})).status, 200);
  });

  it('run only in the homes of their workspace', async () => {
    const home = await harness.fleet.addTarget({
      id: 'i-home',
      service: 'availability',
      zone: 'kurz-a',
      slots: 4,
    });
    await waitUntil(() =>
      harness.logLines.some(line => /target-added.*target=i-home/.test(line)),
    );
    await configure({tenants: [{...FACULTY, home_regions: ['kurzeme']}]});
    const answer = await callWith({'X-Api-Key': API_KEY});
    assert.equal(answer.status, 200);
    assert.equal(home.runs.length, 1);
    assert.equal(countRuns(harness), 0);
  });

  it('are refused if route and workspace have no home in common', async () => {
    const routes = createConfiguration(1)['routes'] as readonly object[];
    await configure({
      tenants: [{...FACULTY, home_regions: ['kurzeme']}],
      routes: routes.map(route => ({...route, home_regions: ['riga']})),
    });
    const answer = await callWith({'X-Api-Key': API_KEY});
    assert.equal(answer.status, 403);
    assert.equal(countRuns(harness), 0);
  });

  it('keep to a quota and are told when to come back', async () => {
    const limited = {...FACULTY, rate_per_s: 10, burst: 10};
    await configure({tenants: [limited, GUESTS]});
    const answers = await Promise.all(
      Array.from({length: 60}, () => callWith({'X-Api-Key': API_KEY})),
    );
    const refused = answers.filter(({status}) => status === 429);
    assert.ok(refused.length > 0 && refused.length < answers.length);
    for (const {headers} of refused) {
      assert.ok(Number(headers['retry-after']) > 0);
    }
    assert.equal((await callWith({'X-Api-Key': 'guest-key'})).status, 200);
  });

  // Guards against callers that pose as peers to get around their quota.
  it('keep to a quota although they seem to be relayed', async () => {
    const limited = {...FACULTY, rate_per_s: 10, burst: 10};
    await configure({tenants: [limited, GUESTS]});
    const headers = {
      'X-Api-Key': API_KEY,
      'X-Ibisbeam-Relayed-For': '10.0.0.1',
    };
    const answers = await Promise.all(
      Array.from({length: 60}, () => callWith(headers)),
    );
    assert.ok(answers.some(({status}) => status === 429));
  });

  it('that a peer relays are those of the workspace that it names', async () => {
    const cutOff = await harness.fleet.addGateway('edge-riga-b-1', 'riga-b', {
      targetReach: () => 'cut-off',
    });
    await waitUntil(async () => {
      const attempt = await callWith({'X-Api-Key': API_KEY}, {}, cutOff);
      return attempt.status === 200;
    });
    const relayed = harness.targets.flatMap(target => target.runs).at(-1);
    assert.equal(relayed?.headers['x-ibisbeam-tenant-name'], 'faculty');
    assert.equal(relayed?.headers['x-api-key'], undefined);
    assert.equal(relayed?.headers['x-ibisbeam-relay-token'], undefined);
  });

  // Guards against a peer that does not know a workspace by the bytes of its name.
  it('that a peer relays are those of a workspace beyond Latin-1', async () => {
    const name = 'K\u0131z\u0131lay \u0130zmir';
    await configure({tenants: [FACULTY, {...GUESTS, name}]});
    const cutOff = await harness.fleet.addGateway('edge-riga-b-1', 'riga-b', {
      targetReach: () => 'cut-off',
    });
    await waitUntil(async () => {
      const attempt = await callWith({'X-Api-Key': 'guest-key'}, {}, cutOff);
      return attempt.status === 200;
    });
    const relayed = harness.targets.flatMap(target => target.runs).at(-1);
    const written = String(relayed?.headers['x-ibisbeam-tenant-name']);
    assert.equal(Buffer.from(written, 'latin1').toString('utf8'), name);
  });

  // Guards against a caller that poses as a peer.
  it('that only seem to be relayed are refused and not run', async () => {
    const answer = await callWith({
      'X-Ibisbeam-Relayed-For': '127.0.0.1',
      'X-Ibisbeam-Relay-Token': 'guessed',
      'X-Ibisbeam-Tenant-Name': 'faculty',
    });
    assert.equal(answer.status, 503);
    assert.equal(countRuns(harness), 0);
  });
});
