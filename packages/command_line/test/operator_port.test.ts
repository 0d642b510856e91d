import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {after, before, test} from 'node:test';
import {teamName, vmId, regionName} from '@ibisbeam/decision';
import {
  burnResponseSchema,
  journalResponseSchema,
  statusResponseSchema,
} from '@ibisbeam/library';
import {
  type VmHarness,
  sampleConfiguration,
  sampleRecord,
  startVm,
} from './vm_harness.js';

const OPERATOR = {kind: 'operator', name: 'janis'} as const;
const ROUTES = [
  'GET /v1/status',
  'GET /v1/configuration',
  'GET /v1/explain/r-1',
  'GET /v1/events',
  'GET /v1/burn',
  'DELETE /v1/quarantines/f00d',
  'GET /nowhere',
] as const;

let vm: VmHarness;
before(async () => {
  vm = await startVm();
});
after(() => vm.close());

async function call(route: string, token?: string) {
  const [method, path] = route.split(' ');
  const response = await fetch(`http://${vm.address}${path}`, {
    method,
    headers: token ? {authorization: `Bearer ${token}`} : {},
  });
  return {status: response.status, body: await response.text()};
}

const operatorToken = () =>
  vm.signer.sign(OPERATOR, 'ibisbeam-operator', 60_000);

test('missing, forged, expired and wrong-audience tokens get the same answer', async () => {
  const refused = new Set<string>();
  const tokens = [
    undefined,
    'not-a-token',
    await vm.foreignSigner.sign(OPERATOR, 'ibisbeam-operator', 60_000),
    await vm.signer.sign(OPERATOR, 'ibisbeam-operator', -60_000),
    await vm.signer.sign(OPERATOR, 'ibisbeam-caller', 60_000),
    await vm.signer.sign(OPERATOR, 'ibisbeam-peer', 60_000),
  ];
  const countedBefore = vm.metrics.count('access.refused');
  for (const route of ROUTES) {
    for (const token of tokens) {
      const {status, body} = await call(route, token);
      assert.equal(status, 401, `${route} ${token}`);
      refused.add(body);
    }
  }
  assert.equal(refused.size, 1);
  const callCount = ROUTES.length * tokens.length;
  assert.equal(vm.metrics.count('access.refused') - countedBefore, callCount);
  const logLineCount = vm.logs.filter(
    event => event === 'access-refused',
  ).length;
  assert.ok(
    logLineCount <= 5,
    `${logLineCount} lines for one burst with five causes`,
  );
  assert.deepEqual(vm.lifted, []);
});

test('a calling team and a VM may not read, a target owner may not lift', async () => {
  const team = teamName('front-desk');
  const owner = {kind: 'target-owner', name: 'ilze', team} as const;
  const peer = {
    kind: 'vm',
    vm: vmId('riga-a-2'),
    region: regionName('riga'),
  } as const;
  for (const principal of [{kind: 'calling-team', team} as const, peer]) {
    const token = await vm.signer.sign(principal, 'ibisbeam-operator', 60_000);
    assert.equal((await call('GET /v1/status', token)).status, 403);
  }
  const token = await vm.signer.sign(owner, 'ibisbeam-operator', 60_000);
  assert.equal((await call('GET /v1/status', token)).status, 200);
  assert.equal((await call('DELETE /v1/quarantines/f00d', token)).status, 403);
  assert.deepEqual(vm.lifted, []);
});

test('status lists what this VM cannot know', async () => {
  const {status, body} = await call('GET /v1/status', await operatorToken());
  assert.equal(status, 200);
  const answer = statusResponseSchema.parse(JSON.parse(body));
  assert.equal(answer.pools[0]?.inFlight, 3);
  const unknown = answer.unknown.join('\n');
  assert.match(unknown, /Any configuration/);
  assert.match(unknown, /How region latgale is/);
  assert.match(unknown, /Whether the platform's store answers/);
});

test('a finished request is explained, another one is not found', async () => {
  vm.kernel.publish({kind: 'request-finished', record: sampleRecord('r-9')});
  const token = await operatorToken();
  const found = await call('GET /v1/explain/r-9', token);
  const answer = journalResponseSchema.parse(JSON.parse(found.body));
  assert.match(JSON.stringify(answer.entries), /lowest expected latency/);
  assert.equal((await call('GET /v1/explain/r-none', token)).status, 404);
});

test('events contain counts of refusals and configuration changes', async () => {
  const refused = {result: 'refused', refusal: 'region-full'} as const;
  const configuration = sampleConfiguration();
  vm.kernel.publish({kind: 'configuration-in-force', configuration});
  for (const id of ['a', 'b', 'c']) {
    const record = sampleRecord(id, {...refused, status: 503});
    vm.kernel.publish({kind: 'request-finished', record});
  }
  const {body} = await call('GET /v1/events?since=0', await operatorToken());
  const {entries} = journalResponseSchema.parse(JSON.parse(body));
  const refusalTally = entries.find(
    entry => entry.event === 'requests-refused',
  );
  assert.equal(refusalTally?.fields['count'], 3);
  assert.ok(entries.some(entry => entry.event === 'configuration-in-force'));
});

test('a flood of unapproved requests does not evict other refusals', async () => {
  const real = {result: 'refused', refusal: 'region-full'} as const;
  const fault = {result: 'refused', refusal: 'not-approved'} as const;
  const publish = (id: string, changes: object) =>
    vm.kernel.publish({
      kind: 'request-finished',
      record: sampleRecord(id, changes),
    });
  publish('real', real);
  for (let count = 0; count < 6_000; count += 1) {
    publish(`fault-${count}`, fault);
  }
  const token = await operatorToken();
  assert.equal((await call('GET /v1/explain/real', token)).status, 200);
  assert.equal((await call('GET /v1/explain/fault-0', token)).status, 404);
});

test('events omit slot lending', async () => {
  const to = vmId('riga-b-4');
  const service = sampleRecord('x').service;
  const note = {kind: 'slots-lent', to, service, slots: 1} as const;
  vm.kernel.publish({kind: 'steering-note', note});
  const ended = {kind: 'failover-ended', from: regionName('riga')} as const;
  vm.kernel.publish({kind: 'steering-note', note: ended});
  const {body} = await call('GET /v1/events', await operatorToken());
  assert.match(body, /failover-ended/);
  assert.doesNotMatch(body, /slots-lent/);
});

test('burn counts answers, lateness and refusals of known services only', async () => {
  const configuration = sampleConfiguration();
  vm.kernel.publish({kind: 'configuration-in-force', configuration});
  const late = sampleRecord('late', {durationMs: 900});
  vm.kernel.publish({kind: 'request-finished', record: late});
  const unknownService = sampleRecord('x', {service: 'made-up' as never});
  vm.kernel.publish({kind: 'request-finished', record: unknownService});
  const {body} = await call('GET /v1/burn', await operatorToken());
  const summary = burnResponseSchema.parse(JSON.parse(body));
  const services = summary.hours.flatMap(hour => hour.services);
  assert.deepEqual(
    [...new Set(services.map(({service}) => service))],
    ['room-availability'],
  );
  assert.equal(services[0]?.late, 1);
});

test('parameters out of bounds are refused by name', async () => {
  const token = await operatorToken();
  for (const query of ['since=-1', 'since=soon', 'limit=0', 'limit=99999']) {
    const {status, body} = await call(`GET /v1/events?${query}`, token);
    assert.equal(status, 400, query);
    assert.match(body, new RegExp(`"detail":"${query.split('=')[0]}"`));
  }
});

test('lifting a quarantine reaches forwarding; an unknown one is not found', async () => {
  const token = await operatorToken();
  const unknown = await call('DELETE /v1/quarantines/beef', token);
  assert.equal(unknown.status, 404);
  const lifted = await call('DELETE /v1/quarantines/f00d', token);
  assert.equal(lifted.status, 200);
  assert.deepEqual(vm.lifted, ['f00d']);
});

test('bytes that are not HTTP are refused and the port keeps serving', async () => {
  const [host, port] = vm.address.split(':');
  const answer = await new Promise<string>((resolve, reject) => {
    const socket = connect(Number(port), host);
    let text = '';
    socket.on('data', chunk => (text += String(chunk)));
    socket.on('close', () => resolve(text));
    socket.on('error', reject);
    socket.write('\u0000\u0001 not http\r\n\r\n');
  });
  assert.match(answer, /^HTTP\/1\.1 400/);
  assert.ok(vm.logs.includes('input-refused'));
  const statusAfter = await call('GET /v1/status', await operatorToken());
  assert.equal(statusAfter.status, 200);
});
