import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import type {LocalGateway} from '../../src/index.js';
import {type Harness, call, startHarness, waitUntil} from './harness.js';

const SOUND_FIELDS: Readonly<Record<string, string>> = {
  service: '"availability"',
  address: '"127.0.0.1:9"',
  zone: '"riga-a"',
  slots: '4',
  state: '"ready"',
  cold_remaining_ms: '0',
  born: '1700000000000',
  sequence: '1',
};
/** A name within the limits of other messages. */
const USUAL_NAME = 'i-foreign';

interface ForeignEntry {
  readonly what: string;
  readonly name?: string;
  readonly text: string;
}

function entryText(changes: Readonly<Record<string, string>>): string {
  const fields = {...SOUND_FIELDS, ...changes};
  const members = Object.entries(fields).map(
    ([name, text]) => `"${name}":${text}`,
  );
  return `{${members.join(',')}}`;
}

function nestedArrays(depth: number): string {
  return `${'['.repeat(depth)}${']'.repeat(depth)}`;
}

function nestedObjects(depth: number): string {
  return `${'{"a":'.repeat(depth)}1${'}'.repeat(depth)}`;
}

const FOREIGN_ENTRIES: readonly ForeignEntry[] = [
  {what: 'nothing but arrays 100,000 deep', text: nestedArrays(100_000)},
  {what: 'objects 100,000 deep', text: nestedObjects(100_000)},
  {
    what: 'a field 100,000 deep beside sound ones',
    text: entryText({extra: nestedArrays(100_000)}),
  },
  // Some depths can be written, and not read again.
  {what: 'a field 800 deep', text: entryText({extra: nestedArrays(800)})},
  {what: 'a field 1,600 deep', text: entryText({extra: nestedObjects(1_600)})},
  {what: 'a field 2,400 deep', text: entryText({extra: nestedArrays(2_400)})},
  {what: 'a port above 65535', text: entryText({address: '"127.0.0.1:65536"'})},
  {what: 'a port of 99999', text: entryText({address: '"127.0.0.1:99999"'})},
  {what: 'a port of 0', text: entryText({address: '"127.0.0.1:0"'})},
  {what: 'an address above 255', text: entryText({address: '"999.0.0.1:80"'})},
  {what: 'infinite slots', text: entryText({slots: '1e999'})},
  {what: 'slots beyond reason', text: entryText({slots: '9007199254740991'})},
  {
    what: 'an infinite cold start',
    text: entryText({cold_remaining_ms: '1e999'}),
  },
  {
    what: 'a cold start without end',
    text: entryText({cold_remaining_ms: '1e308'}),
  },
  {what: 'an infinite start', text: entryText({born: '1e999'})},
  {what: 'a start after all time', text: entryText({born: '9007199254740991'})},
  {what: 'an infinite sequence', text: entryText({sequence: '1e999'})},
  {
    what: 'a name of 2,000 characters',
    name: 'n'.repeat(2_000),
    text: entryText({}),
  },
  {
    what: 'a name of 500 characters',
    name: 'n'.repeat(500),
    text: entryText({}),
  },
  {
    what: 'a zone of 2,000 characters',
    text: entryText({zone: JSON.stringify('z'.repeat(2_000))}),
  },
  {
    what: 'a service of 2,000 characters',
    text: entryText({service: JSON.stringify('s'.repeat(2_000))}),
  },
  {
    what: 'a name beyond Latin-1',
    name: 'i-\u00e7al\u0131\u015fan',
    text: entryText({}),
  },
  {what: 'a line break in its name', name: 'i-1\r\nx: y', text: entryText({})},
  {what: 'no text at all', text: 'null'},
  {what: 'a number', text: '1e999'},
];

// Guards against processes that end, or stop following the list of targets, since
// another writer left one entry there that cannot be read.
describe('a foreign entry among the targets', () => {
  let harness: Harness;
  let gateways: readonly LocalGateway[];
  let unhandled: unknown[];

  function onUnhandled(error: unknown): void {
    unhandled.push(error);
  }

  beforeEach(async () => {
    unhandled = [];
    process.on('uncaughtException', onUnhandled);
    process.on('unhandledRejection', onUnhandled);
    harness = await startHarness();
    const others = [
      await harness.fleet.addGateway('edge-riga-b-1', 'riga-b'),
      // Neither this VM nor the next one is among the two that watch the store.
      await harness.fleet.addGateway('edge-kurz-a-1', 'kurz-a'),
      await harness.fleet.addGateway('edge-riga-a-2', 'riga-a'),
    ];
    gateways = [harness.gateway, ...others];
    await waitUntil(() => areAllAnswering());
  });
  afterEach(async () => {
    await harness.stop();
    process.removeListener('uncaughtException', onUnhandled);
    process.removeListener('unhandledRejection', onUnhandled);
  });

  async function areAllAnswering(): Promise<boolean> {
    for (const gateway of gateways) {
      const {status} = await call(gateway);
      if (status !== 200) {
        return false;
      }
    }
    return true;
  }

  /**
   * Replaces all targets by another one, in the same messages as the entry, and
   * waits until all VMs send to it.
   */
  async function replaceTargets(name: string, text: string): Promise<void> {
    const added = await harness.fleet.addTarget({
      id: 'i-later',
      service: 'availability',
      zone: 'riga-a',
      slots: 4,
    });
    harness.fleet.store.putText('servers', name, text);
    for (const {id} of harness.targets) {
      harness.fleet.store.remove('servers', id);
    }
    await waitUntil(async () => {
      for (const [index, gateway] of gateways.entries()) {
        const attemptId = `${added.id}-${index}-${added.runs.length}`;
        const {status} = await call(gateway, {attemptId});
        const hasRun = added.runs.some(run => run.attemptId === attemptId);
        if (status !== 200 || !hasRun) {
          return false;
        }
      }
      return true;
    });
  }

  it('ends no process, and hides no later change from any VM', async () => {
    for (const {name = USUAL_NAME, text} of FOREIGN_ENTRIES) {
      harness.fleet.store.putText('servers', name, text);
      await waitUntil(() => areAllAnswering());
    }
    await replaceTargets(USUAL_NAME, 'null');
    assert.deepEqual(unhandled, []);
  });

  for (const {what, name = USUAL_NAME, text} of FOREIGN_ENTRIES) {
    it(`hides no change from VMs that start with it: ${what}`, async () => {
      harness.fleet.store.putText('servers', name, text);
      harness.fleet.store.compact();
      gateways = [
        ...gateways,
        await harness.fleet.addGateway('edge-riga-b-2', 'riga-b'),
      ];
      await replaceTargets(name, text);
      assert.deepEqual(unhandled, []);
    });
  }
});
