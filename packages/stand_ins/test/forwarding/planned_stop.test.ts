/** A planned stop cuts nothing, and ends at its bound. */
import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {createManualTimerService} from '@ibisbeam/library';
import {READS, allLive, createTestBed, until} from './harness.js';
import {ask} from './support.js';

const IN_FLIGHT = 20;
/** Lifetime of a look-up and two heartbeats, as the harness sets them. */
const LEAVING_MS = 1_100;
/** Shorter than the deadline of the requests. */
const BOUND_MS = 1_500;

describe('a planned stop', () => {
  let bed: Awaited<ReturnType<typeof createTestBed>>;
  afterEach(() => bed.close());

  async function startLoaded() {
    bed = await createTestBed();
    const timers = createManualTimerService(1_700_000_000_000);
    const vm = await bed.startVm({
      timers,
      settings: {lookup: {lifetimeMs: 1_000}, stop: {boundMs: BOUND_MS}},
    });
    const other = await bed.startVm();
    const configuration = bed.configuration([vm.address, other.address]);
    vm.use(configuration);
    vm.kernel.publish({
      kind: 'membership-changed',
      view: allLive(configuration),
    });
    const read = () =>
      ask(`http://${vm.address}${READS}/x`, {headers: bed.headers()});
    const target = bed.targets[0]!;
    target.faults.hold = true;
    const loaded = Array.from({length: IN_FLIGHT}, read);
    // At most slots and spare connections are at the target at once.
    await until(() => target.inFlight() >= 8);
    await until(() => inFlightOf() === IN_FLIGHT);

    function inFlightOf(): number {
      let inFlight = 0;
      vm.kernel.post('forwarding', {
        kind: 'status',
        reply: status => {
          inFlight = status.inFlight;
        },
      });
      return inFlight;
    }

    return {vm, timers, read, target, loaded};
  }

  it('leaves the look-ups, then finishes every request in flight', async () => {
    const {vm, timers, read, target, loaded} = await startLoaded();
    let stopped = false;
    const stop = vm.kernel.stop().then(() => {
      stopped = true;
    });
    const looked = await ask(
      `http://${vm.address}/v1/entry-vms?workspace=daugava-scholars-lodging&service=room-availability&client=64.0.0.1`,
      {headers: bed.headers()},
    );
    assert.doesNotMatch(looked.text, /riga-a-1/);

    const late = read();
    await timers.advance(LEAVING_MS);
    assert.equal(stopped, false);
    target.release();
    for (const answer of await Promise.all([...loaded, late])) {
      assert.equal(answer.status, 200);
    }
    await timers.advance(BOUND_MS);
    await stop;
    assert.ok(!vm.logged.includes('stop-bound-hit'));
  });

  it('is cut at its bound, which is logged', async () => {
    const {vm, timers, loaded} = await startLoaded();
    const stop = vm.kernel.stop();
    const ends = Promise.allSettled(loaded);
    await timers.advance(BOUND_MS + 1);
    await stop;
    assert.ok(vm.logged.includes('stop-bound-hit'));
    await ends;
  });
});
