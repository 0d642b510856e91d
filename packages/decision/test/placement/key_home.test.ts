import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  type KeyHomeRequest,
  type RegisteredTarget,
  createKeyHomes,
} from '../../src/index.js';

const DOWNLOAD: KeyHomeRequest = {
  service: 'packs',
  assignedRegion: 'riga',
  responseBytes: 90_000,
  isDownload: true,
};

/** Targets of riga-a and of another zone of its region. */
function targets(inZone: number, elsewhere: number): RegisteredTarget[] {
  return Array.from({length: inZone + elsewhere}, (_unused, index) => ({
    incarnation: `i-${index}@1`,
    region: 'riga',
    coldUntilMs: 0,
    entry: {
      id: `i-${index}`,
      service: 'packs',
      host: '10.0.0.1',
      port: 80,
      zone: index < inZone ? 'riga-a' : 'riga-b',
      slots: 6,
      draining: false,
      coldRemainingMs: 0,
      startedAtWallMs: 1,
    },
  }));
}

// Load pattern: large responses, and several targets in each zone.
describe('home of an affinity key', () => {
  const createHomes = () => createKeyHomes({zone: 'riga-a', region: 'riga'});

  it('is the zone for large responses, from the first request on', () => {
    const homes = createHomes();
    const zone = {kind: 'zone', zone: 'riga-a'};
    assert.deepEqual(homes.homeOf(DOWNLOAD, targets(4, 9)), zone);
    const unknown = {...DOWNLOAD, responseBytes: 0};
    assert.deepEqual(homes.homeOf(unknown, targets(4, 9)), zone);
    const measured = {...DOWNLOAD, isDownload: false};
    assert.deepEqual(homes.homeOf(measured, targets(4, 9)), zone);
  });

  it('is the region for small responses', () => {
    const homes = createHomes();
    const small = {...DOWNLOAD, responseBytes: 5_000};
    const region = {kind: 'region', region: 'riga'};
    assert.deepEqual(homes.homeOf(small, targets(9, 9)), region);
    const unknown = {...small, responseBytes: 0, isDownload: false};
    assert.deepEqual(homes.homeOf(unknown, targets(9, 9)), region);
  });

  it('is the region while the zone has too few targets', () => {
    const homes = createHomes();
    assert.equal(homes.homeOf(DOWNLOAD, targets(3, 9)).kind, 'region');
    assert.equal(homes.homeOf(DOWNLOAD, targets(4, 9)).kind, 'zone');
  });

  it('is the other region for requests that run there', () => {
    const elsewhere = {...DOWNLOAD, assignedRegion: 'latgale'};
    assert.deepEqual(createHomes().homeOf(elsewhere, targets(9, 9)), {
      kind: 'region',
      region: 'latgale',
    });
  });
});
