/** Requests that one entry VM passes on to another. */
import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {vmId} from '@ibisbeam/decision';
import {BOOKING_PATH, READ_PATH, createTestBed} from './harness.js';
import {sendRequest} from './send_request.js';

describe('a relayed request', () => {
  let bed: Awaited<ReturnType<typeof createTestBed>>;
  afterEach(() => bed.close());

  async function startPair() {
    bed = await createTestBed();
    const front = await bed.startVm({relayTo: vmId('kurzeme-a-2')});
    const back = await bed.startVm();
    const configuration = bed.configuration([front.address, back.address]);
    front.applyConfiguration(configuration);
    back.applyConfiguration(configuration);
    return {front, back};
  }

  it('is answered through both VMs under its own identifier', async () => {
    const {front, back} = await startPair();
    const answer = await sendRequest(
      `http://${front.address}${READ_PATH}/rooms?a=1`,
      {
        headers: bed.headers({'ibisbeam-request-id': 'r-9'}),
      },
    );
    assert.equal(answer.status, 200);
    assert.equal(answer.headers.get('ibisbeam-request-id'), 'r-9');
    assert.match(answer.text, /"path":"\/rooms\?a=1"/);
    const arrived = back.steering.events.find(
      event => event.kind === 'request-arrived',
    );
    assert.deepEqual(
      arrived?.kind === 'request-arrived' && arrived.request.relayedFrom,
      {vm: 'riga-a-1', region: 'riga'},
    );
  });

  it('that is a booking is claimed where it is sent to the target', async () => {
    const {front} = await startPair();
    const init = {
      method: 'POST',
      headers: bed.headers({'idempotency-key': 'k-1'}),
      body: 'room 4',
    };
    const url = `http://${front.address}${BOOKING_PATH}/book`;
    assert.equal((await sendRequest(url, init)).status, 201);
    assert.equal((await sendRequest(url, init)).status, 201);
    assert.deepEqual(bed.claims.claimingVms, ['kurzeme-a-2', 'kurzeme-a-2']);
    assert.equal(bed.targets[0]!.runsByKey().get('k-1'), 1);
  });

  it('that the other VM refuses as not run is tried elsewhere', async () => {
    const {front, back} = await startPair();
    back.kernel.publish({
      kind: 'target-leaving-signal',
      target: 'room-availability-1' as never,
      source: 'platform-list',
    });
    back.kernel.publish({
      kind: 'target-leaving-signal',
      target: 'room-availability-2' as never,
      source: 'platform-list',
    });
    const answer = await sendRequest(
      `http://${front.address}${READ_PATH}/rooms`,
      {
        headers: bed.headers(),
      },
    );
    assert.equal(answer.status, 200);
  });
});
