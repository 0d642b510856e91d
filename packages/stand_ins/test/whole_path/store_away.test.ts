/**
 * Entry VMs and targets while the platform's store is unavailable, at boot and
 * later.
 */
import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {createSilentLogger, createSystemTimerService} from '@ibisbeam/library';
import {
  type LocalDeployment,
  pollUntil,
  startLocalDeployment,
} from '../../src/index.js';
import {BOOKING_PATH, READ_PATH, WORKSPACE} from '../forwarding/harness.js';
import {type Answer, sendRequest} from '../forwarding/send_request.js';

const RETRY_TIMEOUT_MS = 30_000;

describe('with the store away', () => {
  const timers = createSystemTimerService();
  let deployment: LocalDeployment;
  let headers: Record<string, string>;
  afterEach(() => deployment.stop());

  async function start(storeDownAtStart: boolean): Promise<void> {
    deployment = await startLocalDeployment({
      name: 'daugava',
      entryVmCount: 1,
      workerDivisor: 4,
      clientBlockCount: 3,
      timers,
      logger: createSilentLogger(),
      seed: 1,
      storeDownAtStart,
      settings: {
        lookup: {lifetimeMs: 1_000},
        membership: {heartbeatIntervalMs: 50, suspectAfterMs: 1_000},
      },
    });
    const token = await deployment.keys.token(
      {kind: 'calling-team', team: 'front-desk' as never},
      'ibisbeam-caller',
    );
    headers = {
      authorization: `Bearer ${token}`,
      'ibisbeam-client': '64.0.0.7',
    };
  }

  function send(path: string, init: RequestInit = {}): Promise<Answer> {
    const address = deployment.vms[0]!.entryVm.callerAddress;
    return sendRequest(`http://${address}${path}`, {
      ...init,
      headers: {...headers, ...(init.headers as Record<string, string>)},
    });
  }

  const lookUpEntryVms = () =>
    send(
      `/v1/entry-vms?workspace=${WORKSPACE}&service=room-availability&client=64.0.0.7`,
    );
  const read = () => send(`${READ_PATH}/rooms`);
  const book = (key: string, extra: Record<string, string> = {}) =>
    send(`${BOOKING_PATH}/book`, {
      method: 'POST',
      body: 'room 4',
      headers: {'idempotency-key': key, ...extra},
    });

  function retryUntilOk(call: () => Promise<Answer>): Promise<void> {
    const awaited = `status 200 of ${String(call)}`;
    return pollUntil(
      {timers, timeoutMs: RETRY_TIMEOUT_MS, awaited},
      async () => (await call()).status === 200,
    );
  }

  it('at boot, a VM refuses as not run and serves once the store is back', async () => {
    await start(true);
    for (const answer of [await read(), await lookUpEntryVms()]) {
      assert.deepEqual(
        [answer.status, answer.reason, answer.outcome],
        [503, 'no-configuration', 'not-run'],
      );
      assert.equal(answer.headers.get('retry-after'), '1');
    }
    deployment.platform.faults.down = false;
    await retryUntilOk(lookUpEntryVms);
    await retryUntilOk(read);
  });

  it('later, reads and look-ups go on and a booking runs under a ticket', async () => {
    await start(false);
    await retryUntilOk(lookUpEntryVms);
    await retryUntilOk(read);
    deployment.platform.faults.down = true;

    assert.equal((await read()).status, 200);
    assert.equal((await lookUpEntryVms()).status, 200);

    const refused = await book('own-key', {'ibisbeam-first-attempt': 'true'});
    assert.deepEqual(
      [refused.reason, refused.outcome],
      ['claim-unavailable', 'not-run'],
    );
    const ticketAnswer = await send('/v1/tickets', {method: 'POST'});
    const {idempotencyKey} = JSON.parse(ticketAnswer.text) as {
      idempotencyKey: string;
    };
    const booked = await book(idempotencyKey);
    const repeated = await book(idempotencyKey);
    assert.equal(booked.status, 201);
    assert.equal(repeated.text, booked.text);
    let runs = 0;
    for (const target of deployment.targets.values()) {
      runs += target.runsByKey().get(idempotencyKey) ?? 0;
      assert.equal(target.runsByKey().get('own-key'), undefined);
    }
    assert.equal(runs, 1);
  });
});
