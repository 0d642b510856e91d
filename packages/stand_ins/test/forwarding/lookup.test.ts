/** Look-ups of entry VMs on the caller port. */
import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {WORKSPACE, createAllLiveView, createTestBed} from './harness.js';
import {sendRequest} from './send_request.js';

describe('a look-up', () => {
  let bed: Awaited<ReturnType<typeof createTestBed>>;
  let url: string;
  before(async () => {
    bed = await createTestBed();
    const vm = await bed.startVm();
    const configuration = bed.configuration([vm.address, '127.0.0.1:2']);
    url = `http://${vm.address}/v1/entry-vms`;
    const beforeConfiguration = await sendRequest(
      `${url}?workspace=a&service=b`,
      {
        headers: bed.headers(),
      },
    );
    assert.equal(beforeConfiguration.reason, 'no-configuration');
    vm.applyConfiguration(configuration);
    vm.kernel.publish({
      kind: 'membership-changed',
      view: createAllLiveView(configuration),
    });
  });
  after(() => bed.close());

  function lookUp(parameters: string, headers: Record<string, string> = {}) {
    return sendRequest(`${url}?${parameters}`, {headers: bed.headers(headers)});
  }

  const knownServiceQuery = `workspace=${WORKSPACE}&service=room-availability`;

  it('names the VMs of the home region of a block first', async () => {
    const answer = await lookUp(`${knownServiceQuery}&client=64.0.1.0/24`);
    const {entryVms, generation, lifetimeSeconds} = JSON.parse(answer.text);
    assert.equal(entryVms[0].region, 'kurzeme');
    assert.equal(entryVms[0].weight, 100);
    assert.deepEqual([generation, lifetimeSeconds], [1, 1]);
    assert.equal(answer.headers.get('cache-control'), 'private, max-age=1');
  });

  it('of an answer that still holds is not modified', async () => {
    const first = await lookUp(`${knownServiceQuery}&client=64.0.1.0/24`);
    const repeated = await lookUp(`${knownServiceQuery}&client=64.0.1.0/24`, {
      'if-none-match': first.headers.get('etag')!,
    });
    assert.equal(repeated.status, 304);
  });

  it('for an unknown workspace is refused', async () => {
    const answer = await lookUp('workspace=nobody&service=room-availability');
    assert.deepEqual(
      [answer.status, answer.reason],
      [404, 'unknown-workspace'],
    );
  });

  it('for something that is no address is refused', async () => {
    const answer = await lookUp(`${knownServiceQuery}&client=riga`);
    assert.deepEqual(
      [answer.status, answer.reason],
      [400, 'malformed-request'],
    );
  });

  it('without a token is refused', async () => {
    const answer = await sendRequest(`${url}?${knownServiceQuery}`, {});
    assert.equal(answer.status, 401);
  });
});
