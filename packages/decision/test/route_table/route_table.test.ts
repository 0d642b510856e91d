import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Route, createRouteTable} from '../../src/index.js';

function route(name: string, changes: Partial<Route> = {}): Route {
  return {
    name,
    host: 'rooms.example',
    pathPrefix: '/',
    kind: 'idempotent',
    timeoutMs: 1_000,
    latencyObjectiveMs: 200,
    priority: 1,
    maximumAttempts: 2,
    sticky: true,
    trafficSplit: [{service: 'one', weight: 1}],
    homeRegions: [],
    needsApiKey: true,
    ...changes,
  };
}

function tableOf(routes: readonly Route[]) {
  return createRouteTable({
    version: 1,
    routes,
    services: new Map(),
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
}

describe('route table', () => {
  it('matches the longest prefix that ends at a slash of the path', () => {
    const table = tableOf([
      route('short', {pathPrefix: '/a/'}),
      route('long', {pathPrefix: '/a/b/'}),
    ]);
    assert.equal(table.find('rooms.example', '/a/b/c')?.name, 'long');
    assert.equal(table.find('rooms.example', '/a/b')?.name, 'short');
    assert.equal(table.find('rooms.example', '/a/bc?x=/a/b/')?.name, 'short');
    assert.equal(table.find('rooms.example', '/ab/c'), undefined);
    assert.equal(table.find('other.example', '/a/b/c'), undefined);
  });

  // Guards against a directory that prefers the homes of one route of a host
  // whose other routes have different ones.
  it('tells the homes that all routes of a host have in common', () => {
    const homesOf = (...lists: readonly (readonly string[])[]) =>
      tableOf(
        lists.map((homeRegions, index) =>
          route(`r-${index}`, {pathPrefix: `/${index}/`, homeRegions}),
        ),
      ).homeRegionsOf('rooms.example');
    assert.deepEqual(homesOf(['riga', 'latgale'], [], ['riga']), ['riga']);
    assert.deepEqual(homesOf(['riga'], ['latgale'], ['kurzeme']), []);
  });

  it('compares hosts without regard to case and port', () => {
    const table = tableOf([route('only')]);
    assert.equal(table.find('Rooms.Example:8080', '/x')?.name, 'only');
  });

  it('splits traffic by weight within every 100 requests', () => {
    const parts = [
      {service: 'one', weight: 90},
      {service: 'two', weight: 10},
      {service: 'none', weight: 0},
    ];
    const split = route('split', {trafficSplit: parts});
    const table = tableOf([split]);
    for (let round = 0; round < 3; round += 1) {
      const counts = new Map<string, number>();
      for (let index = 0; index < 100; index += 1) {
        const service = table.nextService(split) ?? '';
        counts.set(service, (counts.get(service) ?? 0) + 1);
      }
      assert.equal(counts.get('one'), 90);
      assert.equal(counts.get('two'), 10);
      assert.equal(counts.get('none'), undefined);
    }
  });
});
