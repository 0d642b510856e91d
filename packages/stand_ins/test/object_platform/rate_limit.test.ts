import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {
  type LocalGateway,
  type RateLimitViolation,
  findRateLimitViolations,
} from '../../src/index.js';
import {
  type Harness,
  call,
  isReady,
  startHarness,
  timers,
  waitUntil,
} from './harness.js';

const ZONES = ['riga-b', 'kurz-a', 'riga-a', 'riga-b', 'kurz-a', 'riga-a'];
const CALL_INTERVAL_MS = 40;
/** A limit that no answer states is forgotten by then. */
const LIMIT_LAPSED_MS = 11_000;
/** Time for the VMs to hear of a limit, and one window of the rule. */
const JUDGED_MS = 5_200;

describe('a target that states a rate limit', () => {
  let harness: Harness;
  let gateways: readonly LocalGateway[];

  beforeEach(async () => {
    harness = await startHarness({slots: 8}, 3);
    const started = [harness.gateway];
    for (const [index, zone] of ZONES.entries()) {
      started.push(await harness.fleet.addGateway(`edge-${index}`, zone));
    }
    gateways = started;
    for (const gateway of gateways) {
      await waitUntil(() => isReady(gateway));
    }
  });
  afterEach(() => harness.stop());

  /** Sends requests at all VMs; returns the VM of each attempt. */
  async function sendFor(
    spanMs: number,
    name: string,
  ): Promise<ReadonlyMap<string, string>> {
    const vms = new Map<string, string>();
    const calls: Promise<unknown>[] = [];
    const endsAtMs = timers.nowMs() + spanMs;
    for (let round = 0; timers.nowMs() < endsAtMs; round += 1) {
      for (const gateway of gateways) {
        const attemptId = `${name}-${round}-${gateway.id}`;
        vms.set(attemptId, gateway.id);
        calls.push(call(gateway, {attemptId, key: String(calls.length % 50)}));
      }
      await timers.sleep(CALL_INTERVAL_MS);
    }
    await Promise.all(calls);
    return vms;
  }

  function countLines(pattern: RegExp): number {
    return harness.logLines.filter(line => pattern.test(line)).length;
  }

  /** VMs at which the limit was lifted, or expired for lack of requests. */
  function countEnds(): number {
    return countLines(/change=(lifted|expired)/);
  }

  function violations(
    vms: ReadonlyMap<string, string>,
  ): readonly RateLimitViolation[] {
    const [target] = harness.targets;
    assert.ok(target);
    return findRateLimitViolations({
      arrivals: target.arrivals,
      statements: target.limitStatements,
      vmOf: attemptId => vms.get(attemptId),
    });
  }

  // Guards against limits that nobody keeps, or that each VM keeps alone.
  it('gets no more from all VMs together', async () => {
    const [target] = harness.targets;
    target?.setRateLimit(6);
    const vms = await sendFor(JUDGED_MS, 'limited');
    assert.deepEqual(violations(vms), []);
    assert.ok((target?.limitStatements.length ?? 0) > 0);
  });

  // Guards against VMs that learn of a limit, or of its end, only by a request.
  it('is known to VMs that send it nothing, until it no longer states one', async () => {
    const [target] = harness.targets;
    target?.setRateLimit(1);
    await sendFor(1_000, 'limited');
    assert.equal(countLines(/change=stated/), gateways.length);
    assert.ok(countLines(/change=stated from=edge/) > 0);
    target?.setRateLimit(undefined);
    const lapsedAtMs = timers.nowMs() + LIMIT_LAPSED_MS;
    for (let round = 0; countEnds() < gateways.length; round += 1) {
      assert.ok(timers.nowMs() < lapsedAtMs, 'the limit is still in force');
      await sendFor(500, `lifted-${round}`);
    }
    const before = target?.arrivals.length ?? 0;
    await sendFor(1_000, 'free');
    const arrived = (target?.arrivals.length ?? 0) - before;
    assert.ok(arrived > 10, `${arrived} requests after the limit`);
  });
});
