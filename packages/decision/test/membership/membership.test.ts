import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  type Heartbeat,
  type EntryVm,
  type Membership,
  type MembershipAction,
  createMembership,
  incarnation,
  regionName,
  vmId,
  zoneName,
} from '../../src/index.js';

const REGION = regionName('riga');
const A = vmId('a');
const B = vmId('b');
const C = vmId('c');
const STARTED_AT_SECONDS = 1_000;

function entryVm(id: typeof A): EntryVm {
  const address = '10.0.0.1:1';
  return {
    id,
    region: REGION,
    zone: zoneName('a'),
    callerAddress: address,
    peerAddress: address,
    operatorAddress: address,
  };
}

function create(): Membership {
  const membership = createMembership({
    vm: A,
    region: REGION,
    zone: zoneName('a'),
    incarnation: incarnation('a-1'),
    startedAtSeconds: STARTED_AT_SECONDS,
    heartbeatIntervalMs: 1_000,
    suspectAfterMs: 4_000,
    listIntervalMs: 5_000,
  });
  membership.step({kind: 'started'}, 0);
  const entryVms = [A, B, C].map(entryVm);
  membership.step({kind: 'configured', entryVms}, 0);
  for (const peer of [B, C]) {
    membership.step({kind: 'peer-connected', peer}, 0);
  }
  return membership;
}

function beat(fields: Partial<Heartbeat> = {}): Heartbeat {
  return {kind: 'beat', revision: 900, digest: 0, ...fields};
}

/** Ticks every half second; the listed peers send a heartbeat each time. */
function run(
  membership: Membership,
  fromMs: number,
  toMs: number,
  heartbeatingPeers: readonly (typeof A)[],
): void {
  for (let nowMs = fromMs; nowMs <= toMs; nowMs += 500) {
    for (const from of heartbeatingPeers) {
      membership.step({kind: 'beat', from, beat: beat()}, nowMs);
    }
    membership.step({kind: 'tick'}, nowMs);
  }
}

function notes(actions: readonly MembershipAction[]): readonly string[] {
  return actions.flatMap(action =>
    action.kind === 'note' ? [action.note.kind] : [],
  );
}

function stateOf(membership: Membership, vm: typeof A, nowMs: number) {
  return membership.view(nowMs).vms.get(vm)?.state;
}

test('a silent neighbour is suspected; it is gone once the platform list omits it', () => {
  const membership = create();
  run(membership, 0, 10_000, [C]);
  assert.equal(stateOf(membership, B, 10_000), 'suspect');
  const outdatedList = [A, B, C].map(vm => ({
    vm,
    incarnation: incarnation(`${vm}-1`),
    state: 'live' as const,
  }));
  membership.step({kind: 'platform-list', vms: outdatedList}, 10_100);
  assert.equal(stateOf(membership, B, 10_100), 'suspect');
  const vms = outdatedList.filter(({vm}) => vm !== B);
  membership.step({kind: 'platform-list', vms}, 10_200);
  assert.equal(stateOf(membership, B, 10_200), 'gone');
});

test('a VM that sends heartbeats is live although the list omits it', () => {
  const membership = create();
  run(membership, 0, 5_000, [B, C]);
  membership.step({kind: 'platform-list', vms: []}, 5_100);
  assert.equal(stateOf(membership, B, 5_100), 'live');
});

test('a paused process reports self-doubt and suspects no other VM', () => {
  const membership = create();
  run(membership, 0, 5_000, [B, C]);
  const actions = membership.step({kind: 'tick'}, 65_000);
  assert.deepEqual(notes(actions), ['self-doubt']);
  assert.equal(membership.view(65_000).selfDoubt, true);
  assert.equal(stateOf(membership, B, 65_000), 'live');
  run(membership, 65_500, 75_000, [B, C]);
  assert.equal(membership.view(75_000).selfDoubt, false);
});

test('a suspected VM refutes the suspicion with a higher revision', () => {
  const membership = create();
  run(membership, 0, 2_000, [B, C]);
  const updates: Heartbeat['updates'] = [
    [A, incarnation('a-1'), STARTED_AT_SECONDS, 'suspect', null],
  ];
  membership.step({kind: 'beat', from: B, beat: beat({updates})}, 2_100);
  const sent = membership
    .step({kind: 'tick'}, 2_500)
    .flatMap(action => (action.kind === 'send' ? [action.beat] : []));
  assert.ok(sent.length > 0);
  assert.ok(sent.every(({revision}) => revision > STARTED_AT_SECONDS));
});

test('a later incarnation overrides updates about an earlier one', () => {
  const membership = create();
  run(membership, 0, 10_000, [C]);
  const laterHeartbeat = beat({
    revision: 2_000,
    incarnation: incarnation('b-2'),
  });
  membership.step({kind: 'beat', from: B, beat: laterHeartbeat}, 10_100);
  const found = membership.view(10_100).vms.get(B);
  assert.equal(found?.state, 'live');
  assert.equal(found?.incarnation, 'b-2');
});

test('a heartbeat contains at most eight updates', () => {
  const membership = create();
  const suspectedVms = Array.from({length: 40}, (_, index) =>
    entryVm(vmId(`vm-${index}`)),
  );
  const entryVms = [...[A, B, C].map(entryVm), ...suspectedVms];
  membership.step({kind: 'configured', entryVms}, 100);
  for (const {id} of suspectedVms) {
    const updates: Heartbeat['updates'] = [[id, null, 5, 'suspect', null]];
    membership.step({kind: 'beat', from: B, beat: beat({updates})}, 200);
  }
  const sizes = membership
    .step({kind: 'tick'}, 5_000)
    .flatMap(action =>
      action.kind === 'send' ? [action.beat.updates?.length ?? 0] : [],
    );
  assert.ok(sizes.length > 0);
  assert.ok(sizes.every(size => size <= 8));
});
