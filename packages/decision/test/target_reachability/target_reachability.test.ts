import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {
  type ProbeTarget,
  type ReachDecision,
  type TargetReachability,
  chooseProbes,
  createTargetReachability,
} from '../../src/index.js';

const TARGETS: readonly ProbeTarget[] = ['a', 'b', 'c', 'd'].flatMap(zone =>
  [1, 2].map(index => ({incarnation: `${zone}${index}`, zone})),
);
const TICK_MS = 50;
const PROBE_TIMEOUT_MS = 250;

describe('whether a VM reaches targets', () => {
  let reachability: TargetReachability;
  let nowMs: number;
  let probeCount: number;
  /** Probes under way, with their ends. */
  let probes: {incarnation: string; endsAtMs: number}[];
  let connects: (incarnation: string) => boolean;
  let peerReachedAtMs: () => number | undefined;
  let targets: readonly ProbeTarget[];
  let hasPeers: boolean;
  let decision: ReachDecision;

  beforeEach(() => {
    reachability = createTargetReachability();
    nowMs = 0;
    probeCount = 0;
    probes = [];
    connects = () => true;
    peerReachedAtMs = () => nowMs - 100;
    targets = TARGETS;
    hasPeers = true;
    run(200);
  });

  /** Runs for a time; `onTick` may record traffic. */
  function run(spanMs: number, onTick: () => void = () => {}): void {
    const endsAtMs = nowMs + spanMs;
    while (nowMs < endsAtMs) {
      nowMs += TICK_MS;
      const ended = probes.filter(probe => probe.endsAtMs <= nowMs);
      probes = probes.filter(probe => probe.endsAtMs > nowMs);
      for (const {incarnation} of ended) {
        const connected = connects(incarnation);
        reachability.recordProbe(incarnation, connected, nowMs);
      }
      onTick();
      decision = reachability.update(
        {targets, hasPeers, peerReachedAtMs: peerReachedAtMs()},
        nowMs,
      );
      probeCount += decision.probes.length;
      for (const {incarnation} of decision.probes) {
        const tookMs = connects(incarnation) ? TICK_MS : PROBE_TIMEOUT_MS;
        probes.push({incarnation, endsAtMs: nowMs + tookMs});
      }
    }
  }

  function cut(): void {
    connects = () => false;
  }

  /** Connections to all targets time out. */
  function failTraffic(): void {
    const {incarnation} = TARGETS[nowMs % TARGETS.length] ?? {incarnation: ''};
    reachability.recordConnectionFailure(incarnation, nowMs);
    reachability.recordConnectionFailure('a2', nowMs);
  }

  it('is shown by probes at the start', () => {
    assert.equal(decision.reach, 'reaching');
    assert.equal(decision.isReady, true);
    assert.equal(probeCount, 4);
  });

  // Guards against probes that cost connections while there is traffic.
  it('is not probed while targets answer', () => {
    probeCount = 0;
    run(10_000, () => reachability.recordAnswer(nowMs));
    assert.equal(probeCount, 0);
  });

  it('is probed once more for a connection that failed', () => {
    probeCount = 0;
    reachability.recordConnectionFailure('a1', nowMs);
    run(3_000, () => reachability.recordAnswer(nowMs));
    assert.equal(probeCount, 1);
    assert.equal(decision.reach, 'reaching');
  });

  it('is probed at most twice a second without traffic', () => {
    probeCount = 0;
    run(10_000);
    assert.ok(probeCount > 10 && probeCount <= 20, `${probeCount} probes`);
    assert.equal(decision.reach, 'reaching');
  });

  // Guards against VMs that refuse everything and don't know why.
  it('ends within a second if all new connections fail', () => {
    cut();
    run(950, failTraffic);
    assert.equal(decision.reach, 'cut-off');
    assert.equal(decision.isReady, false);
    assert.equal(reachability.reachedAtMs(), undefined);
  });

  it('ends within 1.5 s without traffic', () => {
    cut();
    run(1_450);
    assert.equal(decision.reach, 'cut-off');
  });

  // Guards against taking answers on old connections for reach.
  it('ends though established connections live on', () => {
    cut();
    run(950, () => {
      reachability.recordAnswer(nowMs);
      failTraffic();
    });
    assert.equal(decision.reach, 'cut-off');
  });

  // Guards against a VM that waits for targets that are down for all VMs.
  it('is back when the cut ends, though most zones are down by then', () => {
    cut();
    run(1_450);
    assert.equal(decision.reach, 'cut-off');
    connects = incarnation => incarnation.startsWith('a');
    run(3_000);
    assert.equal(decision.reach, 'reaching');
  });

  // Guards against a fleet that steps out because its targets are down.
  it('is only in doubt if no peer has reached targets since', () => {
    const downAtMs = nowMs;
    peerReachedAtMs = () => Math.min(nowMs - 100, downAtMs + 100);
    cut();
    run(10_000, failTraffic);
    assert.equal(decision.reach, 'suspect');
    assert.equal(decision.isReady, true);
  });

  it('is only in doubt at a VM that hears from no other', () => {
    peerReachedAtMs = () => undefined;
    hasPeers = false;
    cut();
    run(10_000, failTraffic);
    assert.equal(decision.reach, 'suspect');
    assert.equal(decision.isReady, true);
  });

  // Guards against stepping out for targets of one zone that are down.
  it('stays if the targets of one zone refuse connections', () => {
    connects = incarnation => !incarnation.startsWith('a');
    run(5_000, () => {
      reachability.recordConnectionFailure('a1', nowMs);
      reachability.recordConnectionFailure('a2', nowMs);
      assert.notEqual(decision.reach, 'cut-off');
    });
    connects = () => true;
    run(100);
    assert.equal(decision.reach, 'reaching');
  });

  // Guards against failures that a pause of the process has caused.
  it('does not end by connections that ran out of time in a pause', () => {
    cut();
    for (let pause = 0; pause < 10; pause += 1) {
      run(100, failTraffic);
      nowMs += 400;
    }
    assert.notEqual(decision.reach, 'cut-off');
  });

  it('bounds the probes while it is in doubt or cut off', () => {
    cut();
    probeCount = 0;
    run(10_000, failTraffic);
    assert.ok(probeCount <= 10 * 16, `${probeCount} probes`);
  });

  it('comes back after two rounds in which most probes connect', () => {
    cut();
    run(1_500);
    connects = () => true;
    run(150);
    assert.equal(decision.reach, 'cut-off');
    run(850);
    assert.equal(decision.reach, 'reaching');
    assert.equal(decision.isReady, true);
  });

  // Guards against flapping.
  it('comes back later each time if it is soon cut off again', () => {
    const spansMs: number[] = [];
    for (let cutCount = 0; cutCount < 3; cutCount += 1) {
      cut();
      run(1_500);
      connects = () => true;
      const sinceMs = nowMs;
      while (decision.reach === 'cut-off') {
        run(TICK_MS);
      }
      spansMs.push(nowMs - sinceMs);
      run(100);
    }
    const [first = 0, second = 0, third = 0] = spansMs;
    assert.ok(first < second && second < third, spansMs.join(' '));
  });

  it('is in doubt again once no peer reaches targets any more', () => {
    cut();
    run(1_500);
    const lastMs = nowMs;
    peerReachedAtMs = () => lastMs;
    run(3_000);
    assert.equal(decision.reach, 'suspect');
    assert.equal(decision.isReady, true);
  });

  describe('at the start', () => {
    beforeEach(() => {
      reachability = createTargetReachability();
      probes = [];
    });

    // Guards against naming a VM that has yet to reach a target.
    it('keeps a VM that is cut off unready', () => {
      cut();
      run(TICK_MS);
      assert.equal(decision.isReady, false);
      run(5_000, () => assert.equal(decision.isReady, false));
      assert.equal(decision.reach, 'cut-off');
    });

    it('lets a VM be ready if no VM reaches targets', () => {
      cut();
      peerReachedAtMs = () => undefined;
      run(500);
      assert.equal(decision.isReady, false);
      run(1_500);
      assert.equal(decision.isReady, true);
    });

    it('lets a VM alone be ready after the first probes', () => {
      cut();
      hasPeers = false;
      peerReachedAtMs = () => undefined;
      run(600);
      assert.equal(decision.isReady, true);
    });

    it('lets a VM be ready if no targets are listed', () => {
      targets = [];
      run(TICK_MS);
      assert.equal(decision.isReady, true);
      assert.equal(decision.reach, 'reaching');
    });
  });
});

describe('the choice of probes', () => {
  it('takes one target of each zone first', () => {
    const chosen = chooseProbes(TARGETS, new Set(), 4, 3);
    assert.equal(new Set(chosen.map(({zone}) => zone)).size, 4);
  });

  it('takes targets that have just failed last', () => {
    const avoided = new Set(['a1', 'b1', 'c1', 'd1']);
    const chosen = chooseProbes(TARGETS, avoided, 4, 0);
    assert.ok(chosen.every(({incarnation}) => incarnation.endsWith('2')));
    assert.equal(chooseProbes(TARGETS, avoided, 20, 0).length, 8);
  });

  it('changes with each turn', () => {
    const first = chooseProbes(TARGETS, new Set(), 1, 0);
    assert.notDeepEqual(chooseProbes(TARGETS, new Set(), 1, 1), first);
  });
});
