import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {createManualTimerService} from '@ibisbeam/library';
import {
  type VmDirectory,
  createVmDirectory,
} from '../src/control/vm_directory.js';
import type {VmRecord} from '../src/peers/messages.js';

const LIFETIME_MS = 2_000;

function vm(id: string, region: string): VmRecord {
  return {
    id,
    startedWallMs: 1,
    host: id,
    callerAddress: `${id}:1`,
    zone: `${region}-a`,
    region,
  };
}

describe('the directory of a region without a serving VM', () => {
  let directory: VmDirectory;

  beforeEach(() => {
    const peers = [vm('edge-kurz', 'kurzeme'), vm('edge-riga', 'riga')];
    directory = createVmDirectory({
      self: vm('edge-self', 'riga'),
      mesh: {peersHeardWithin: () => peers},
      timers: createManualTimerService(),
      isServing: () => true,
    });
    for (const {id} of peers) {
      directory.recordHeartbeat(id, {
        isServing: true,
        isCutOff: false,
        reachedTargetsAtMs: 0,
      });
    }
  });

  function resolve(homeRegions: readonly string[]): readonly string[] {
    const query = {region: 'latgale'};
    return directory.resolve(query, homeRegions, LIFETIME_MS).addresses;
  }

  // Guards against requests, and their bodies, that are sent to a VM outside of
  // their homes because the directory named it.
  it('names VMs in the homes of the host’s routes', () => {
    assert.deepEqual(resolve(['kurzeme']), ['edge-kurz:1']);
  });

  it('names all VMs if there are none in the homes', () => {
    assert.equal(resolve(['kuldiga']).length, 3);
    assert.equal(resolve([]).length, 3);
  });
});
