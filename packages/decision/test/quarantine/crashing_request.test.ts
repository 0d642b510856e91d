import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  type SteeringAction,
  type SteeringEvent,
  type TargetId,
  type VmId,
  createCrashSuspicions,
} from '../../src/index.js';
import {
  REGIONS,
  buildConfiguration,
  targetName,
  vmName,
} from '../support/configuration_fixture.js';
import {
  type SteeringDriver,
  buildMembershipView,
  createSteeringDriver,
  actionsOfKind,
} from '../support/steering_driver.js';

const OPTIONS = {quarantineMs: 600_000, longQuarantineMs: 86_400_000};
const FINGERPRINT = 'crasher';

/**
 * All VMs of the fleet. A suspicion reaches another VM with a delay, but before
 * a relayed request does.
 */
function createFleet() {
  const configuration = buildConfiguration({
    slots: REGIONS.map(() => [6, 6, 6, 6]),
  });
  const drivers = new Map<VmId, SteeringDriver>();
  for (const vm of configuration.entryVms.values()) {
    const driver = createSteeringDriver({vm: vm.id, region: vm.region});
    driver.step({kind: 'configuration-accepted', configuration});
    driver.step({
      kind: 'membership-changed',
      view: buildMembershipView(configuration),
    });
    drivers.set(vm.id, driver);
  }
  let losses = 0;
  /** Crashed targets, which restart only in `pass`. */
  const down = new Set<TargetId>();
  let pending: {readonly to: VmId; readonly event: SteeringEvent}[] = [];

  function deliver(to: VmId): void {
    for (const item of pending.filter(one => one.to === to)) {
      drivers.get(to)!.step(item.event);
    }
    pending = pending.filter(one => one.to !== to);
  }

  function perform(vm: VmId, actions: readonly SteeringAction[]): void {
    const driver = drivers.get(vm)!;
    for (const {to, message} of actionsOfKind(actions, 'send-to-peer')) {
      if (message.kind === 'crash-suspected') {
        pending.push({to, event: {kind: 'peer-message', from: vm, message}});
      }
    }
    for (const send of actionsOfKind(actions, 'send-attempt')) {
      if (send.destination.kind === 'relay') {
        const {destination} = send;
        deliver(destination.vm);
        const region = driver.steering.status({nowMs: 0, wallMs: 0}).pools[0]!
          .region;
        resend(destination.vm, {relayedFrom: {vm, region}});
        perform(vm, driver.finishAttempt(send, {kind: 'shed'}));
        continue;
      }
      const {target} = send.destination;
      if (down.has(target)) {
        const cause = 'refused';
        perform(vm, driver.finishAttempt(send, {kind: 'not-sent', cause}));
        continue;
      }
      down.add(target);
      losses += 1;
      perform(vm, driver.finishAttempt(send, {kind: 'broken', cause: 'reset'}));
    }
  }

  function resend(vm: VmId, facts = {}): void {
    const driver = drivers.get(vm)!;
    perform(vm, driver.request({fingerprint: FINGERPRINT, ...facts}));
  }

  /** Resends the request, then delivers the messages of earlier runs. */
  function run(vm: VmId): void {
    const old = new Set(pending);
    resend(vm);
    for (const item of pending.filter(one => old.has(one))) {
      drivers.get(item.to)!.step(item.event);
    }
    pending = pending.filter(one => !old.has(one));
  }

  /** Restarts all targets, delivers all messages and advances the time. */
  function pass(milliseconds: number): void {
    down.clear();
    for (const [vm, driver] of drivers) {
      deliver(vm);
      driver.advance(milliseconds);
    }
  }

  return {drivers, run, pass, losses: () => losses};
}

test('loses at most three targets to one request, whichever VM resends it', () => {
  const fleet = createFleet();
  for (let round = 0; round < 5; round += 1) {
    for (const vm of fleet.drivers.keys()) {
      fleet.run(vm);
    }
  }
  assert.ok(fleet.losses() <= 3, `${fleet.losses()} targets lost`);
});

test('loses at most three targets across several quarantines', () => {
  const fleet = createFleet();
  const vms = [...fleet.drivers.keys()];
  for (let round = 0; round < 4; round += 1) {
    vms.forEach(vm => fleet.run(vm));
    fleet.pass(OPTIONS.quarantineMs + 1_000);
  }
  assert.ok(fleet.losses() <= 3, `${fleet.losses()} targets lost`);
});

test('serves other requests of the caller during a quarantine', () => {
  const fleet = createFleet();
  const vm = vmName(0, 0);
  [1, 2, 3].forEach(() => fleet.run(vm));
  const actions = fleet.drivers.get(vm)!.request({fingerprint: 'other'});
  assert.equal(actionsOfKind(actions, 'send-attempt').length, 1);
});

test('refuses a quarantined request as not run', () => {
  const driver = createSteeringDriver();
  const configuration = buildConfiguration();
  driver.step({kind: 'configuration-accepted', configuration});
  driver.step({
    kind: 'peer-message',
    from: vmName(0, 1),
    message: {
      kind: 'crash-suspected',
      fingerprint: FINGERPRINT,
      targets: [targetName(0, 0), targetName(1, 0)],
      ageMs: 0,
    },
  });
  const [refusal] = actionsOfKind(
    driver.request({fingerprint: FINGERPRINT}),
    'refuse',
  );
  assert.equal(refusal?.reason, 'request-quarantined');
  assert.equal(refusal?.outcome, 'not-run');
  driver.step({kind: 'quarantine-lifted', fingerprint: FINGERPRINT});
  const after = driver.request({fingerprint: FINGERPRINT});
  assert.equal(actionsOfKind(after, 'send-attempt').length, 1);
});

test('clears a request if its target answers one that it had before the loss', () => {
  const suspicions = createCrashSuspicions(OPTIONS);
  suspicions.recordLoss(FINGERPRINT, targetName(0, 0), 100);
  suspicions.recordSurvival(targetName(0, 0), 90);
  assert.equal(suspicions.stateOf(FINGERPRINT, 110), 'clear');
});

test('turns a quarantined request into a suspect when the quarantine ends', () => {
  const suspicions = createCrashSuspicions(OPTIONS);
  suspicions.recordLoss(FINGERPRINT, targetName(0, 0), 0);
  suspicions.recordLoss(FINGERPRINT, targetName(0, 1), 0);
  assert.equal(suspicions.stateOf(FINGERPRINT, 1), 'quarantined');
  assert.equal(
    suspicions.stateOf(FINGERPRINT, OPTIONS.quarantineMs),
    'suspect',
  );
});

test('runs a suspect on one VM of the fleet and not at the lost target', () => {
  const fleet = createFleet();
  const lost = targetName(0, 0);
  const vms = new Set<VmId>();
  for (const [vm, driver] of fleet.drivers) {
    driver.step({
      kind: 'peer-message',
      from: vmName(0, 1),
      message: {
        kind: 'crash-suspected',
        fingerprint: FINGERPRINT,
        targets: [lost],
        ageMs: 0,
      },
    });
    const actions = driver.request({fingerprint: FINGERPRINT});
    const [send] = actionsOfKind(actions, 'send-attempt');
    assert.ok(send);
    const {destination} = send;
    vms.add(destination.kind === 'relay' ? destination.vm : vm);
    assert.notDeepEqual(destination, {kind: 'target', target: lost});
  }
  assert.equal(vms.size, 1);
});
