import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type PeerLocation, choosePeer} from '../../src/index.js';

function peer(id: string, zone: string, region = 'riga'): PeerLocation {
  return {id, zone, region};
}

const PEERS = [
  peer('a-2', 'riga-a'),
  peer('b-1', 'riga-b'),
  peer('b-2', 'riga-b'),
  peer('k-1', 'kurz-a', 'kurzeme'),
];

function choose(
  overrides: Partial<Parameters<typeof choosePeer>[0]> = {},
): string | undefined {
  return choosePeer({
    peers: PEERS,
    zone: 'riga-a',
    region: 'riga',
    homeRegions: [],
    excluded: new Set(),
    spreadKey: 'one',
    ...overrides,
  })?.id;
}

describe('choice of the peer for a relayed request', () => {
  it('spreads requests evenly over the other zones of the region', () => {
    const counts = new Map<string, number>();
    for (let index = 0; index < 1_000; index += 1) {
      const id = choose({spreadKey: `attempt-${index}`}) ?? 'none';
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    assert.deepEqual([...counts.keys()].sort(), ['b-1', 'b-2']);
    for (const count of counts.values()) {
      assert.ok(count > 400, `${count}`);
    }
  });

  it('shares the load with the own zone if the others have one peer', () => {
    const peers = PEERS.filter(({id}) => id !== 'b-2');
    const chosen = new Set<string | undefined>();
    for (let index = 0; index < 100; index += 1) {
      chosen.add(choose({peers, spreadKey: `attempt-${index}`}));
    }
    assert.deepEqual([...chosen].sort(), ['a-2', 'b-1']);
  });

  it('tries each peer once, those of other regions last', () => {
    const excluded = new Set<string>();
    const order = [];
    for (let id = choose(); id !== undefined; id = choose({excluded})) {
      order.push(id);
      excluded.add(id);
    }
    assert.deepEqual([...order].sort(), ['a-2', 'b-1', 'b-2', 'k-1']);
    assert.equal(order.at(-1), 'k-1');
  });

  it('takes only peers in home regions', () => {
    assert.equal(choose({homeRegions: ['kurzeme']}), 'k-1');
    assert.equal(choose({homeRegions: ['latgale']}), undefined);
  });

  it('chooses none without peers', () => {
    assert.equal(choose({peers: []}), undefined);
  });
});
