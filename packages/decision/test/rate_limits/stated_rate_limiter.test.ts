import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type SharingVm, createStatedRateLimiter} from '../../src/index.js';

const TARGET = {incarnation: 'target', region: 'riga'};
const REGIONS = ['riga', 'kurzeme', 'latgale'];
const SPAN_MS = 20_000;
const WINDOW_MS = 4_000;

function createFleet(vmCount: number): readonly SharingVm[] {
  return Array.from({length: vmCount}, (_unused, index) => ({
    id: `vm-${index}`,
    region: REGIONS[index % REGIONS.length] ?? 'riga',
  }));
}

/** Times at which VMs send that always have a request for the target. */
function sendTimes(
  vms: readonly SharingVm[],
  perSecond: number,
): readonly number[] {
  const limiters = vms.map(vm => {
    const limiter = createStatedRateLimiter(vm);
    limiter.setVms(vms);
    return limiter;
  });
  const sentAtMs: number[] = [];
  for (let nowMs = 0; nowMs < SPAN_MS; nowMs += 5) {
    for (const limiter of limiters) {
      if (limiter.allows(TARGET, perSecond, nowMs)) {
        limiter.takeToken(TARGET, perSecond, nowMs);
        sentAtMs.push(nowMs);
      }
    }
  }
  return sentAtMs;
}

function maximumPerWindow(sentAtMs: readonly number[]): number {
  let most = 0;
  for (const fromMs of sentAtMs) {
    const inWindow = sentAtMs.filter(
      atMs => atMs >= fromMs && atMs < fromMs + WINDOW_MS,
    );
    most = Math.max(most, inWindow.length);
  }
  return most;
}

describe('requests to a target that states a rate limit', () => {
  for (const vmCount of [1, 7, 24, 32]) {
    for (const perSecond of [0, 0.5, 7.1, 40]) {
      // Guards against a limit of the fleet that each VM applies alone.
      it(`stay below ${perSecond} a second with ${vmCount} VMs`, () => {
        const sentAtMs = sendTimes(createFleet(vmCount), perSecond);
        const allowed = perSecond * 1.5 * (WINDOW_MS / 1_000) + 5;
        const most = maximumPerWindow(sentAtMs);
        assert.ok(most <= allowed, `${most} in 4 s, allowed ${allowed}`);
      });
    }

    it(`use most of the rate with ${vmCount} VMs`, () => {
      const sent = sendTimes(createFleet(vmCount), 7.1).length;
      const possible = (7.1 * SPAN_MS) / 1_000;
      assert.ok(sent >= possible * 0.8, `${sent} of ${possible}`);
    });
  }

  it('are sent now and then even if it states none at all', () => {
    assert.ok(sendTimes(createFleet(7), 0).length >= 3);
  });
});
