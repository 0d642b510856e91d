import assert from 'node:assert/strict';
import {readFileSync, readdirSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {Packr} from 'msgpackr';
import * as z from 'zod';
import {peerMessageSchema, vmRecordSchema} from '../src/peers/messages.js';
import {SAMPLE_MESSAGES} from './golden/sample_messages.js';

/** The sources: only they hold the fixtures. */
const GOLDEN_FOLDER = join(
  dirname(fileURLToPath(import.meta.url)),
  '../../test/golden',
);
const ADVICE =
  'Peer messages have changed. Builds run side by side during an upgrade: see docs/design/builds-side-by-side.md, then run `node scripts/freeze_messages.mjs --current` and commit what it writes.';
const BUILDS = readdirSync(join(GOLDEN_FOLDER, 'builds'));

interface FrozenBuild {
  readonly peerMessageSchema: typeof peerMessageSchema;
  readonly vmRecordSchema: typeof vmRecordSchema;
}

function readJson(...path: readonly string[]): unknown {
  return JSON.parse(readFileSync(join(GOLDEN_FOLDER, ...path), 'utf8'));
}

async function importBuild(build: string): Promise<FrozenBuild> {
  return (await import(
    `./golden/builds/${build}/messages.js`
  )) as unknown as FrozenBuild;
}

/** As it arrives over a link. */
function transmit(message: unknown): unknown {
  const packer = new Packr({useRecords: false});
  return packer.unpack(packer.pack(message));
}

function writtenBy(build: string): readonly unknown[] {
  const written = readJson('builds', build, 'written.json');
  assert.ok(Array.isArray(written) && written.length > 0);
  return written;
}

describe('messages between builds', () => {
  // Guards against a change of a message that nobody weighed.
  it('are those that the fixtures describe', () => {
    const schema = z.toJSONSchema(peerMessageSchema);
    assert.deepEqual(
      JSON.parse(JSON.stringify(schema)),
      readJson('current.json'),
      ADVICE,
    );
  });

  it('are read as they were written', () => {
    for (const message of Object.values(SAMPLE_MESSAGES)) {
      assert.deepEqual(peerMessageSchema.parse(transmit(message)), message);
    }
  });

  for (const build of BUILDS) {
    // Guards against a new build that refuses what running VMs tell it.
    it(`that ${build} writes are read without a loss`, () => {
      for (const message of writtenBy(build)) {
        assert.deepEqual(peerMessageSchema.parse(transmit(message)), message);
      }
    });

    // Guards against running VMs that refuse what a new build tells them.
    it(`are read by ${build}, but for kinds that it ignores`, async () => {
      const frozen = await importBuild(build);
      const known = new Set(
        writtenBy(build).map(message => (message as {kind: string}).kind),
      );
      for (const message of Object.values(SAMPLE_MESSAGES)) {
        const read = frozen.peerMessageSchema.safeParse(transmit(message));
        assert.equal(read.success, known.has(message.kind), message.kind);
      }
    });

    // Guards against VMs that do not find each other in the store.
    it(`and registrations are read by ${build} and from it`, async () => {
      const frozen = await importBuild(build);
      const {vm} = SAMPLE_MESSAGES.hello;
      assert.deepEqual(frozen.vmRecordSchema.parse(vm), vm);
      const [hello] = writtenBy(build).filter(
        message => (message as {kind: string}).kind === 'hello',
      ) as {vm: unknown}[];
      assert.ok(vmRecordSchema.safeParse(hello?.vm).success);
    });
  }
});
