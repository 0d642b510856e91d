/** Look-ups on the caller port. */
import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {WORKSPACE, allLive, createTestBed} from './harness.js';
import {ask} from './support.js';

describe('a look-up', () => {
  let bed: Awaited<ReturnType<typeof createTestBed>>;
  let url: string;
  before(async () => {
    bed = await createTestBed();
    const vm = await bed.startVm();
    const configuration = bed.configuration([vm.address, '127.0.0.1:2']);
    url = `http://${vm.address}/v1/entry-vms`;
    const early = await ask(`${url}?workspace=a&service=b`, {
      headers: bed.headers(),
    });
    assert.equal(early.reason, 'no-configuration');
    vm.use(configuration);
    vm.kernel.publish({
      kind: 'membership-changed',
      view: allLive(configuration),
    });
  });
  after(() => bed.close());

  function lookUp(parameters: string, headers: Record<string, string> = {}) {
    return ask(`${url}?${parameters}`, {headers: bed.headers(headers)});
  }

  const known = `workspace=${WORKSPACE}&service=room-availability`;

  it('names the VMs of the home region of a block first', async () => {
    const answer = await lookUp(`${known}&client=64.0.1.0/24`);
    const {entryVms, generation, lifetimeSeconds} = JSON.parse(answer.text);
    assert.equal(entryVms[0].region, 'kurzeme');
    assert.equal(entryVms[0].weight, 100);
    assert.deepEqual([generation, lifetimeSeconds], [1, 1]);
    assert.equal(answer.headers.get('cache-control'), 'private, max-age=1');
  });

  it('of an answer that still holds is not modified', async () => {
    const first = await lookUp(`${known}&client=64.0.1.0/24`);
    const again = await lookUp(`${known}&client=64.0.1.0/24`, {
      'if-none-match': first.headers.get('etag')!,
    });
    assert.equal(again.status, 304);
  });

  it('for an unknown workspace is refused', async () => {
    const answer = await lookUp('workspace=nobody&service=room-availability');
    assert.deepEqual(
      [answer.status, answer.reason],
      [404, 'unknown-workspace'],
    );
  });

  it('for something that is no address is refused', async () => {
    const answer = await lookUp(`${known}&client=riga`);
    assert.deepEqual(
      [answer.status, answer.reason],
      [400, 'malformed-request'],
    );
  });

  it('without a token is refused', async () => {
    const answer = await ask(`${url}?${known}`, {});
    assert.equal(answer.status, 401);
  });
});
