// Bundles the platform's gateway into one file, so that a start loads little.
import {build} from 'esbuild';

await build({
  entryPoints: ['platform/dist/src/main.js'],
  outfile: 'target/ibisbeam_gateway.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Less to parse at a start; names stay, so that stacks can be read.
  minifyWhitespace: true,
  minifySyntax: true,
  // CommonJS packages inside the bundle call require for built-in modules.
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
