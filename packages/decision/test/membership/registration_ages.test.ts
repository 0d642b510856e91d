import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRegistrationAges} from '../../src/index.js';

const LIFETIME_MS = 600_000;
const NOBODY: ReadonlySet<string> = new Set();

describe('registrations of VMs', () => {
  it('are stale once their VM has been silent for long', () => {
    const ages = createRegistrationAges(LIFETIME_MS);
    const registered = ['gone', 'live'];
    const heard = new Set(['live']);
    assert.deepEqual(ages.findStale(registered, heard, 0), []);
    assert.deepEqual(ages.findStale(registered, heard, 600_000), []);
    assert.deepEqual(ages.findStale(registered, heard, 600_001), ['gone']);
  });

  it('count from when this VM first sees them', () => {
    const ages = createRegistrationAges(LIFETIME_MS);
    ages.findStale(['old'], NOBODY, 0);
    assert.deepEqual(ages.findStale(['old', 'new'], NOBODY, 700_000), ['old']);
  });

  it('count anew after they were removed', () => {
    const ages = createRegistrationAges(LIFETIME_MS);
    ages.findStale(['back'], NOBODY, 0);
    ages.findStale([], NOBODY, 10_000);
    assert.deepEqual(ages.findStale(['back'], NOBODY, 700_000), []);
  });
});
