// Bundles the gateway of the platform into one file, which starts faster.
import {createHash} from 'node:crypto';
import {mkdirSync, writeFileSync} from 'node:fs';
import {dirname} from 'node:path';
import {build} from 'esbuild';

const OUTPUT_FILE = 'target/ibisbeam_gateway.mjs';
/** Stands for the identifier of the build until its code is known. */
const BUILD_PLACEHOLDER = 'ibisbeam-build-identifier';
const BUILD_IDENTIFIER_LENGTH = 12;

const {outputFiles} = await build({
  entryPoints: ['platform/dist/src/main.js'],
  outfile: OUTPUT_FILE,
  write: false,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  define: {IBISBEAM_BUILD: JSON.stringify(BUILD_PLACEHOLDER)},
  // Reduces parse time at start; identifiers stay readable in stack traces.
  minifyWhitespace: true,
  minifySyntax: true,
  // Bundled CommonJS packages call `require` for built-in modules.
  banner: {
    js: "import {createRequire as createRequireOfBundle} from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
  },
  external: [
    'bufferutil',
    'utf-8-validate',
    'dtrace-provider',
    'mv',
    'source-map-support',
    'moment',
  ],
});

const [bundle] = outputFiles;
const identifier = createHash('sha256')
  .update(bundle.text)
  .digest('hex')
  .slice(0, BUILD_IDENTIFIER_LENGTH);
mkdirSync(dirname(OUTPUT_FILE), {recursive: true});
writeFileSync(
  OUTPUT_FILE,
  bundle.text.replace(
    JSON.stringify(BUILD_PLACEHOLDER),
    JSON.stringify(identifier),
  ),
);
