// Bundles the gateway of the platform into one file, which starts faster.
import {build} from 'esbuild';

await build({
  entryPoints: ['platform/dist/src/main.js'],
  outfile: 'target/ibisbeam_gateway.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
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
