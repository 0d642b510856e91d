/**
 * A planned stop drains requests in flight, and is cut off at its time bound.
 */
import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {createManualTimerService} from '@ibisbeam/library';
import {
  READ_PATH,
  createAllLiveView,
  createTestBed,
  waitUntil,
} from './harness.js';
import {sendRequest} from './send_request.js';

const IN_FLIGHT_COUNT = 20;
/** Look-up lifetime plus two heartbeat intervals, as set in the harness. */
const LEAVING_PERIOD_MS = 1_100;
/** Below the request deadline, so that the bound takes effect first. */
const STOP_BOUND_MS = 1_500;

describe('a planned stop', () => {
  let bed: Awaited<ReturnType<typeof createTestBed>>;
  afterEach(() => bed.close());

  async function startWithRequestsInFlight() {
    bed = await createTestBed();
    const timers = createManualTimerService(1_700_000_000_000);
    const vm = await bed.startVm({
      timers,
      settings: {lookup: {lifetimeMs: 1_000}, stop: {boundMs: STOP_BOUND_MS}},
    });
    const other = await bed.startVm();
    const configuration = bed.configuration([vm.address, other.address]);
    vm.applyConfiguration(configuration);
    vm.kernel.publish({
      kind: 'membership-changed',
      view: createAllLiveView(configuration),
    });
    const read = () =>
      sendRequest(`http://${vm.address}${READ_PATH}/x`, {
        headers: bed.headers(),
      });
    const target = bed.targets[0]!;
    target.faults.hold = true;
    const pendingReads = Array.from({length: IN_FLIGHT_COUNT}, read);
    // The target holds at most its slots plus the spare connections at once.
    await waitUntil(() => target.inFlight() >= 8);
    await waitUntil(() => readInFlight() === IN_FLIGHT_COUNT);

    function readInFlight(): number {
      let inFlight = 0;
      vm.kernel.post('forwarding', {
        kind: 'status',
        reply: status => {
          inFlight = status.inFlight;
        },
      });
      return inFlight;
    }

    return {vm, timers, read, target, pendingReads};
  }

  it('leaves the look-ups, then finishes every request in flight', async () => {
    const {vm, timers, read, target, pendingReads} =
      await startWithRequestsInFlight();
    let stopped = false;
    const stop = vm.kernel.stop().then(() => {
      stopped = true;
    });
    const lookup = await sendRequest(
      `http://${vm.address}/v1/entry-vms?workspace=daugava-scholars-lodging&service=room-availability&client=64.0.0.1`,
      {headers: bed.headers()},
    );
    assert.doesNotMatch(lookup.text, /riga-a-1/);

    const lateRead = read();
    await timers.advance(LEAVING_PERIOD_MS);
    assert.equal(stopped, false);
    target.release();
    for (const answer of await Promise.all([...pendingReads, lateRead])) {
      assert.equal(answer.status, 200);
    }
    await timers.advance(STOP_BOUND_MS);
    await stop;
    assert.ok(!vm.logEvents.includes('stop-bound-hit'));
  });

  it('is cut at its bound, which is logged', async () => {
    const {vm, timers, pendingReads} = await startWithRequestsInFlight();
    const stop = vm.kernel.stop();
    const settled = Promise.allSettled(pendingReads);
    await timers.advance(STOP_BOUND_MS + 1);
    await stop;
    assert.ok(vm.logEvents.includes('stop-bound-hit'));
    await settled;
  });
});
