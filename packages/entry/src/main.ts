#!/usr/bin/env node
/** `ibisbeam-entry --settings FILE`: one entry VM. */
import {loadSettings, type OperatorError} from '@ibisbeam/library';
import yargs from 'yargs';
import {createDaemon} from './daemon.js';
import {readVmKeys} from './keys.js';

const EXIT_FAILURE = 1;
const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

const {settings: file} = await yargs(process.argv.slice(2))
  .scriptName('ibisbeam-entry')
  .usage('$0 --settings FILE')
  .option('settings', {
    type: 'string',
    demandOption: true,
    requiresArg: true,
    describe: 'Settings of this VM, JSON with comments',
  })
  .strict()
  .version(false)
  .parseAsync();

const prepared = loadSettings(file).chain(settings =>
  readVmKeys(settings, process.env)
    .map(keys => ({settings, keys}))
    .mapLeft((error): readonly OperatorError[] => [error]),
);

await prepared.caseOf({
  Left: async problems => {
    for (const {title, message, hint} of problems) {
      process.stderr.write(`${title}\n  ${message}\n  hint: ${hint}\n`);
    }
    process.exitCode = EXIT_FAILURE;
  },
  Right: async ({settings, keys}) => {
    const daemon = await createDaemon({
      settings,
      keys,
      write: line => process.stdout.write(line),
    });
    for (const signal of STOP_SIGNALS) {
      process.on(signal, daemon.stop);
    }
    await daemon.start();
    process.exitCode = await daemon.ended;
  },
});
