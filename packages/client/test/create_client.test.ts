import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  type CallRequest,
  type ClientOptions,
  type TransportRequest,
  type TransportResult,
  createClient,
} from '../src/index.js';

const READ: CallRequest = {
  service: 'rooms',
  method: 'GET',
  path: '/rooms/1',
  deadlineMs: 2_000,
};
const BOOKING: CallRequest = {
  ...READ,
  service: 'ledger',
  method: 'POST',
  path: '/bookings',
  body: '{}',
};

type Step = TransportResult | 'lookup-fails';

const OK: TransportResult = {
  kind: 'answered',
  status: 201,
  headers: {},
  body: Buffer.from('done'),
};
const BROKEN: TransportResult = {kind: 'broken', cause: 'reset'};
const NOT_SENT: TransportResult = {kind: 'not-sent', cause: 'refused'};

function refusal(
  reason: string,
  outcome: 'not-run' | 'unknown',
  headers: Record<string, string> = {},
): TransportResult {
  return {
    kind: 'answered',
    status: 503,
    headers: {
      ...headers,
      'content-type': 'application/problem+json',
      'ibisbeam-outcome': outcome,
    },
    body: Buffer.from(
      JSON.stringify({type: `https://ibisbeam.example/problems/${reason}`}),
    ),
  };
}

function lookupAnswer(addresses: readonly string[]): TransportResult {
  const entryVms = addresses.map(address => ({
    id: address,
    address,
    weight: 1,
  }));
  const body = Buffer.from(JSON.stringify({lifetimeSeconds: 5, entryVms}));
  return {kind: 'answered', status: 200, headers: {}, body};
}

/** A client whose requests receive the given responses in order. */
function createHarness(
  steps: readonly Step[],
  changes: Partial<ClientOptions> = {},
) {
  const sent: TransportRequest[] = [];
  const lookups: TransportRequest[] = [];
  const queue = [...steps];
  let nowMs = 0;
  let lookupWorks = true;
  let identifierCount = 0;
  const client = createClient({
    workspace: 'lodging',
    seeds: ['seed-1', 'seed-2'],
    token: () => 'secret',
    random: () => 0,
    uniqueId: () => `id-${(identifierCount += 1)}`,
    timers: {
      nowMs: () => nowMs,
      sleep: async delayMs => {
        nowMs += delayMs;
      },
    },
    transport: async request => {
      if (request.path.startsWith('/v1/entry-vms')) {
        lookups.push(request);
        return lookupWorks ? lookupAnswer(['vm-1', 'vm-2']) : NOT_SENT;
      }
      sent.push(request);
      return queue.shift() as TransportResult;
    },
    ...changes,
  });
  return {
    client,
    sent,
    lookups,
    breakLookup: () => {
      lookupWorks = false;
    },
    advance: (spanMs: number) => {
      nowMs += spanMs;
    },
    call: async (request: CallRequest) => client.call(request).run(),
  };
}

test('a look-up is cached for its lifetime and shared by calls', async () => {
  const harness = createHarness([OK, OK, OK]);
  await Promise.all([harness.call(READ), harness.call(READ)]);
  assert.equal(harness.lookups.length, 1);
  harness.advance(5_001);
  await harness.call(READ);
  assert.equal(harness.lookups.length, 2);
});

test('an expired look-up response is used while look-ups fail', async () => {
  const harness = createHarness([OK, OK]);
  await harness.call(READ);
  harness.breakLookup();
  harness.advance(5_001);
  const result = await harness.call(READ);
  assert.ok(result.isRight());
  assert.match(harness.sent[1]!.address, /^vm-/);
});

test('a resend sends the remaining time and goes to another entry VM', async () => {
  const harness = createHarness([NOT_SENT, OK]);
  const result = await harness.call(READ);
  assert.ok(result.isRight());
  const [first, second] = harness.sent;
  assert.notEqual(first!.address, second!.address);
  const remainingMs = (request: TransportRequest) =>
    Number(request.headers['ibisbeam-deadline-ms']);
  assert.equal(remainingMs(first!), 2_000);
  assert.ok(remainingMs(second!) < 2_000);
});

test('a booking whose connection broke is resent only with the same key', async () => {
  const harness = createHarness([BROKEN, OK]);
  const result = await harness.call(BOOKING);
  assert.ok(result.isRight());
  const keys = harness.sent.map(({headers}) => headers['idempotency-key']);
  assert.ok(keys[0]);
  assert.equal(keys[0], keys[1]);
  const first = harness.sent.map(
    ({headers}) => headers['ibisbeam-first-attempt'],
  );
  assert.deepEqual(first, ['true', undefined]);
});

test('a booking of unknown outcome is not resent, and is never "not run"', async () => {
  const harness = createHarness([refusal('target-failed', 'unknown')]);
  const failure = (await harness.call(BOOKING)).swap().unsafeCoerce();
  assert.equal(failure.kind, 'unknown');
  assert.equal(harness.sent.length, 1);
});

test('after a broken attempt a refusal does not turn into "not run"', async () => {
  const steps = [BROKEN, ...Array(3).fill(refusal('region-full', 'not-run'))];
  const harness = createHarness(steps);
  const failure = (await harness.call(BOOKING)).swap().unsafeCoerce();
  assert.equal(failure.kind, 'unknown');
  assert.ok('idempotencyKey' in failure && failure.idempotencyKey);
});

test('a refusal reports Retry-After, and no resend goes past the deadline', async () => {
  const wait = {'retry-after': '3'};
  const harness = createHarness([refusal('region-full', 'not-run', wait)]);
  const failure = (await harness.call(BOOKING)).swap().unsafeCoerce();
  assert.ok(failure.kind === 'not-run');
  assert.equal(failure.reason, 'region-full');
  assert.equal(failure.retryAfterMs, 3_000);
  assert.equal(harness.sent.length, 1);
});

for (const reason of [
  'not-approved',
  'idempotency-key-reused',
  'malformed-request',
]) {
  test(`${reason} is final`, async () => {
    const harness = createHarness([refusal(reason, 'not-run')]);
    const failure = (await harness.call(BOOKING)).swap().unsafeCoerce();
    assert.equal(failure.kind, 'not-run');
    assert.equal(harness.sent.length, 1);
  });
}

test('a key in use by another attempt is retried, and never "not run"', async () => {
  const held = refusal('idempotency-key-in-use', 'not-run');
  const harness = createHarness([held, held, held, held]);
  const failure = (await harness.call(BOOKING)).swap().unsafeCoerce();
  assert.equal(failure.kind, 'unknown');
  assert.equal(harness.sent.length, 4);
});

const TICKET: TransportResult = {
  kind: 'answered',
  status: 201,
  headers: {},
  body: Buffer.from('{"idempotencyKey": "ticket-1"}'),
};

test('a ticket identifies the operation when no claim can be made', async () => {
  const kept: string[] = [];
  const steps = [refusal('claim-unavailable', 'not-run'), TICKET, BROKEN, OK];
  const harness = createHarness(steps, {
    keepIdempotencyKey: key => {
      kept.push(key);
    },
  });
  const answer = await harness.call({...BOOKING, allowTicket: true});
  assert.equal(answer.unsafeCoerce().idempotencyKey, 'ticket-1');
  const [refused, minted, broken, resent] = harness.sent;
  assert.equal(minted!.path, '/v1/tickets');
  assert.equal(broken!.address, refused!.address);
  assert.equal(resent!.headers['idempotency-key'], 'ticket-1');
  assert.equal(kept.length, 2);
});

test('no ticket is taken once the first key may have run', async () => {
  const unavailable = refusal('claim-unavailable', 'not-run');
  const harness = createHarness([
    BROKEN,
    unavailable,
    unavailable,
    unavailable,
  ]);
  const result = await harness.call({...BOOKING, allowTicket: true});
  assert.equal(result.swap().unsafeCoerce().kind, 'unknown');
  assert.ok(harness.sent.every(({path}) => path !== '/v1/tickets'));
});

test('a resend by a later call is never a first attempt', async () => {
  const harness = createHarness([OK]);
  await harness.call({...BOOKING, idempotencyKey: 'kept', resend: true});
  const {headers} = harness.sent[0]!;
  assert.equal(headers['idempotency-key'], 'kept');
  assert.equal(headers['ibisbeam-first-attempt'], undefined);
});

test("a target's own error response is not a refusal", async () => {
  const harness = createHarness([{...OK, status: 503}]);
  const answer = (await harness.call(READ)).unsafeCoerce();
  assert.equal(answer.status, 503);
});
