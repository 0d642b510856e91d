/** Public API of the package. */
export {type Daemon, type DaemonOptions, createDaemon} from './daemon.js';
export {readVmKeys, type VmKeys} from './keys.js';
