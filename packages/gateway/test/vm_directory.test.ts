import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {
  type VmDirectory,
  createVmDirectory,
} from '../src/control/vm_directory.js';
import type {VmRecord} from '../src/peers/messages.js';

function createRecord(id: string): VmRecord {
  return {
    id,
    startedWallMs: 0,
    host: '10.0.0.1',
    callerAddress: `${id}:80`,
    zone: 'riga-a',
    region: 'riga',
  };
}

const SERVING = {isServing: true, isCutOff: false, reachedTargetsAtMs: 9_000};

describe('the directory of VMs', () => {
  const peers = ['a', 'b', 'c'].map(createRecord);
  let directory: VmDirectory;
  let isServing: boolean;

  beforeEach(() => {
    isServing = true;
    directory = createVmDirectory({
      self: createRecord('self'),
      mesh: {peersHeardWithin: () => peers},
      timers: {nowMs: () => 10_000},
      isServing: () => isServing,
    });
    for (const {id} of peers) {
      directory.recordHeartbeat(id, SERVING);
    }
  });

  function addresses(): readonly string[] {
    return directory.resolve({region: 'riga'}, [], 5_000).addresses;
  }

  it('does not name VMs that are cut off, this one included', () => {
    assert.deepEqual(addresses(), ['self:80', 'a:80', 'b:80', 'c:80']);
    isServing = false;
    directory.recordHeartbeat('a', {
      isServing: false,
      isCutOff: true,
      reachedTargetsAtMs: undefined,
    });
    assert.deepEqual(addresses(), ['b:80', 'c:80']);
  });

  // Guards against parts of shared bounds that nobody can use.
  it('counts VMs that are cut off as living, but not as working', () => {
    directory.recordHeartbeat('a', {
      isServing: false,
      isCutOff: true,
      reachedTargetsAtMs: undefined,
    });
    assert.equal(directory.livePeers().length, 3);
    assert.deepEqual(
      directory.workingPeers().map(({id}) => id),
      ['b', 'c'],
    );
  });

  it('takes only what serving peers have just said of targets', () => {
    directory.recordHeartbeat('a', {...SERVING, isServing: false});
    directory.recordHeartbeat('b', {...SERVING, reachedTargetsAtMs: 7_000});
    directory.recordHeartbeat('c', {...SERVING, reachedTargetsAtMs: 9_500});
    assert.deepEqual(
      directory.peersReachingTargets().map(({id}) => id),
      ['c'],
    );
    assert.equal(directory.peerReachedTargetsAtMs(), 9_500);
    directory.recordHeartbeat('c', {...SERVING, reachedTargetsAtMs: undefined});
    assert.equal(directory.peerReachedTargetsAtMs(), undefined);
  });
});
