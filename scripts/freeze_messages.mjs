/**
 * Keeps the peer messages of a build as fixtures, so that tests can tell whether
 * today's code and that build understand each other.
 *
 *   node scripts/freeze_messages.mjs --current
 *     describes today's messages in current.json
 *   node scripts/freeze_messages.mjs --build NAME --checkout FOLDER
 *     keeps the schema and the messages of a build, from its built checkout
 */
import {copyFileSync, mkdirSync, writeFileSync} from 'node:fs';
import {join, resolve} from 'node:path';
import {parseArgs} from 'node:util';
import {pathToFileURL} from 'node:url';
import * as prettier from 'prettier';
import * as z from 'zod';

const GATEWAY = 'packages/gateway';
const GOLDEN = join(GATEWAY, 'test/golden');

const {values} = parseArgs({
  options: {
    current: {type: 'boolean', default: false},
    build: {type: 'string'},
    checkout: {type: 'string'},
  },
});

function importFile(...path) {
  return import(pathToFileURL(resolve(...path)).href);
}

async function writeJson(file, value) {
  const options = await prettier.resolveConfig(file);
  const text = JSON.stringify(value);
  writeFileSync(
    file,
    await prettier.format(text, {...options, parser: 'json'}),
  );
}

if (values.current) {
  const {peerMessageSchema} = await importFile(
    GATEWAY,
    'dist/src/peers/messages.js',
  );
  await writeJson(
    join(GOLDEN, 'current.json'),
    z.toJSONSchema(peerMessageSchema),
  );
} else if (values.build && values.checkout) {
  const {SAMPLE_MESSAGES} = await importFile(
    GATEWAY,
    'dist/test/golden/sample_messages.js',
  );
  const {peerMessageSchema} = await importFile(
    values.checkout,
    GATEWAY,
    'dist/src/peers/messages.js',
  );
  const folder = join(GOLDEN, 'builds', values.build);
  mkdirSync(folder, {recursive: true});
  copyFileSync(
    join(values.checkout, GATEWAY, 'src/peers/messages.ts'),
    join(folder, 'messages.ts'),
  );
  // The build writes the fields that it knows, and no others.
  const written = [];
  for (const message of Object.values(SAMPLE_MESSAGES)) {
    const {success, data} = peerMessageSchema.safeParse(message);
    if (success) {
      written.push(data);
    }
  }
  await writeJson(join(folder, 'written.json'), written);
} else {
  process.stderr.write(
    'Nothing to do: give --current, or --build NAME with --checkout FOLDER.\n',
  );
  process.exit(2);
}
