// Bundles the gateway of the platform into two files: a small one, which is
// started and catches signals, and the rest, which it loads.
import {createHash} from 'node:crypto';
import {mkdirSync, writeFileSync} from 'node:fs';
import {basename, dirname} from 'node:path';
import {build} from 'esbuild';

const START_FILE = 'target/ibisbeam_gateway.cjs';
const GATEWAY_FILE = 'target/run_gateway.mjs';
/** Name under which programs outside the deploy file start the gateway. */
const MODULE_START_FILE = 'target/ibisbeam_gateway.mjs';
/** Stands for the identifier of the build until its code is known. */
const BUILD_PLACEHOLDER = 'ibisbeam-build-identifier';
const BUILD_IDENTIFIER_LENGTH = 12;

const commonOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  // Reduces parse time at start; identifiers stay readable in stack traces.
  minifyWhitespace: true,
  minifySyntax: true,
};

const {outputFiles} = await build({
  ...commonOptions,
  entryPoints: ['platform/dist/src/run_gateway.js'],
  outfile: GATEWAY_FILE,
  write: false,
  format: 'esm',
  define: {IBISBEAM_BUILD: JSON.stringify(BUILD_PLACEHOLDER)},
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
mkdirSync(dirname(GATEWAY_FILE), {recursive: true});
writeFileSync(
  GATEWAY_FILE,
  bundle.text.replace(
    JSON.stringify(BUILD_PLACEHOLDER),
    JSON.stringify(identifier),
  ),
);

await build({
  ...commonOptions,
  entryPoints: ['platform/dist/src/main.js'],
  outfile: START_FILE,
  // Node.js runs the first statement of a CommonJS file earlier.
  format: 'cjs',
  plugins: [
    {
      name: 'gateway file',
      setup: ({onResolve}) =>
        onResolve({filter: /\/run_gateway\.js$/}, () => ({
          path: `./${basename(GATEWAY_FILE)}`,
          external: true,
        })),
    },
  ],
});

writeFileSync(MODULE_START_FILE, `import './${basename(START_FILE)}';\n`);
