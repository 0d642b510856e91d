import assert from 'node:assert/strict';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {
  type ClientBlocks,
  createBlockTableBuilder,
  findMalformedBlock,
  regionName,
} from '../../src/index.js';

const REGIONS = ['riga', 'kurzeme', 'latgale'].map(regionName);

test('the longest matching block determines the home region', () => {
  const table = createBlockTableBuilder().build([
    {
      [REGIONS[0]!]: '10.0.0.0/8 2001:db8::/32',
      [REGIONS[1]!]: '10.1.0.0/16 2001:db8:1::/48',
    } as ClientBlocks,
    {[REGIONS[2]!]: '10.1.2.0/24'} as ClientBlocks,
  ]);
  assert.equal(table.blockCount, 5);
  assert.equal(table.find('10.9.9.9')?.homeRegion, 'riga');
  assert.equal(table.find('10.1.9.9')?.homeRegion, 'kurzeme');
  assert.equal(table.find('10.1.2.9')?.homeRegion, 'latgale');
  assert.equal(table.find('2001:db8:1::5')?.homeRegion, 'kurzeme');
  assert.equal(table.find('2001:db8:2::5')?.homeRegion, 'riga');
  assert.equal(table.find('11.0.0.1')?.homeRegion, undefined);
  assert.equal(table.find('no address'), undefined);
});

test('all addresses of a block are in the same cohort', () => {
  const table = createBlockTableBuilder().build([
    {[REGIONS[0]!]: '10.1.0.0/16'} as ClientBlocks,
  ]);
  const cohort = table.find('10.1.0.1')?.cohort;
  assert.equal(table.find('10.1.255.254')?.cohort, cohort);
});

test('an invalid block in a section is reported', () => {
  const section = {[REGIONS[0]!]: '10.0.0.0/8 10.0.0.0/33'} as ClientBlocks;
  assert.equal(findMalformedBlock(section), '10.0.0.0/33');
});

test('every configured block is found in whichever section it is', () => {
  const blockArbitrary = fastCheck.tuple(
    fastCheck.nat(2 ** 16 - 1),
    fastCheck.nat(2),
    fastCheck.nat(3),
  );
  fastCheck.assert(
    fastCheck.property(
      fastCheck.uniqueArray(blockArbitrary, {
        selector: ([network]) => network,
        maxLength: 60,
      }),
      blocks => {
        const sections: Record<string, string>[] = [{}, {}, {}, {}];
        for (const [network, region, section] of blocks) {
          const name = REGIONS[region]!;
          const text = `10.${network >> 8}.${network & 255}.0/24`;
          const target = sections[section]!;
          target[name] = `${target[name] ?? ''} ${text}`.trim();
        }
        const table = createBlockTableBuilder().build(
          sections as ClientBlocks[],
        );
        for (const [network, region] of blocks) {
          const found = table.find(`10.${network >> 8}.${network & 255}.7`);
          assert.equal(found?.homeRegion, REGIONS[region]);
        }
      },
    ),
    {seed: 11, numRuns: 200},
  );
});
