import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  type Configuration,
  type MembershipView,
  type Shift,
  type VmState,
  compileConfiguration,
  createEntryVmDirectory,
  generation,
  regionName,
  serviceName,
  workspaceName,
} from '@ibisbeam/decision';
import {buildDeployment} from '../src/index.js';

const WORKSPACE = workspaceName('daugava-scholars-lodging');
const SERVICE = serviceName('room-availability');
const RIGA = regionName('riga');

function configurationWith(shifts: readonly Shift[]): Configuration {
  const document = new Map(
    buildDeployment({
      name: 'daugava',
      entryVmCount: 7,
      workerDivisor: 1,
      clientBlockCount: 0,
    }),
  );
  document.set('shifts', {kind: 'shifts', shifts});
  return compileConfiguration(document, generation(1)).unsafeCoerce();
}

function createView(
  configuration: Configuration,
  states: Readonly<Record<string, VmState>> = {},
): MembershipView {
  const vms = new Map();
  for (const vm of configuration.entryVms.values()) {
    const state = states[vm.id] ?? 'live';
    vms.set(vm.id, {vm: vm.id, region: vm.region, zone: vm.zone, state});
  }
  return {atMs: 0, vms, silentRegions: new Set(), selfDoubt: false};
}

function createQuery(cohort: number) {
  const location = {homeRegion: RIGA, cohort};
  return {workspace: WORKSPACE, service: SERVICE, location};
}

test('a leaving, suspect or unknown VM is never in an answer', () => {
  const configuration = configurationWith([]);
  const directory = createEntryVmDirectory(3);
  directory.setConfiguration(configuration);
  directory.setMembershipView(
    createView(configuration, {'riga-a-1': 'leaving', 'riga-b-4': 'suspect'}),
  );
  for (let cohort = 0; cohort < 200; cohort += 1) {
    const {choices} = directory.answer(createQuery(cohort), 0).unsafeCoerce();
    const chosen = choices.map(choice => choice.vm.id as string);
    assert.equal(chosen[0], 'riga-a-7');
    assert.ok(!chosen.includes('riga-a-1'));
    assert.ok(!chosen.includes('riga-b-4'));
  }
});

test('the cohorts of a region are spread over its VMs', () => {
  const configuration = configurationWith([]);
  const directory = createEntryVmDirectory(3);
  directory.setConfiguration(configuration);
  directory.setMembershipView(createView(configuration));
  const counts = new Map<string, number>();
  for (let cohort = 0; cohort < 1_000; cohort += 1) {
    const {choices} = directory.answer(createQuery(cohort), 0).unsafeCoerce();
    const first = choices[0]!.vm.id;
    counts.set(first, (counts.get(first) ?? 0) + 1);
  }
  assert.equal(counts.size, 3);
  for (const count of counts.values()) {
    assert.ok(count > 250 && count < 420, `${count} of 1,000 cohorts`);
  }
});

test('a planned shift moves cohorts under its cap and no faster', () => {
  const shift: Shift = {
    id: 'move',
    workspace: WORKSPACE,
    from: RIGA,
    to: regionName('kurzeme'),
    fraction: 0.5,
    startAtMs: 1_000_000,
    plannedBy: 'operator',
  };
  const configuration = configurationWith([shift]);
  const directory = createEntryVmDirectory(3);
  directory.setConfiguration(configuration);
  directory.setMembershipView(createView(configuration));

  function movedFraction(wallMs: number): number {
    let moved = 0;
    for (let cohort = 0; cohort < 1_000; cohort += 1) {
      const {choices} = directory
        .answer(createQuery(cohort), wallMs)
        .unsafeCoerce();
      moved += choices[0]!.vm.region === 'kurzeme' ? 1 : 0;
    }
    return moved / 1_000;
  }

  assert.equal(movedFraction(999_999), 0);
  for (let minutes = 0; minutes <= 10; minutes += 0.5) {
    const moved = movedFraction(1_000_000 + minutes * 60_000);
    assert.ok(moved <= 0.1 * minutes + 0.001, `${moved} after ${minutes} min`);
  }
  assert.equal(movedFraction(9_000_000), 0.5);
});

test('without a configuration the answer is a typed refusal', () => {
  const directory = createEntryVmDirectory(3);
  const refused = directory.answer(createQuery(1), 0);
  assert.equal(refused.swap().unsafeCoerce(), 'no-configuration');
});
