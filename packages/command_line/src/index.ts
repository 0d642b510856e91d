/** Public interface of the command-line package. */
export {commands} from './commands/index.js';
export type {Dependencies} from './core/dependencies.js';
export {EXIT_STATUS, type ExitStatus} from './core/exit_status.js';
export {loadSections} from './core/section_file.js';
export {createSystemDependencies} from './core/system_dependencies.js';
export {runCommandLine} from './run_command_line.js';
