#!/usr/bin/env node
import {createSystemDependencies} from './core/system_dependencies.js';
import {runCommandLine} from './run_command_line.js';

process.exitCode = await runCommandLine(
  process.argv.slice(2),
  createSystemDependencies(),
);
