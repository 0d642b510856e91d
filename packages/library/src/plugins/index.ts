/** Every plug-in of an entry VM; each folder registers its own. */
import type {PlugInRegistry} from '../core/kernel/index.js';

export function registerPlugIns(_registry: PlugInRegistry): void {}
