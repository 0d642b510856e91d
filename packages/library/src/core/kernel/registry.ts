import type {PlugIn} from './types.js';
import type {TaskName} from '../messages/index.js';

/** Collects the plug-ins from which a daemon builds its kernel. */
export interface PlugInRegistry {
  register<Name extends TaskName>(plugIn: PlugIn<Name>): void;
  all(): readonly PlugIn[];
}

export function createPlugInRegistry(): PlugInRegistry {
  const plugIns: PlugIn[] = [];
  return {
    register: plugIn => {
      plugIns.push(plugIn as unknown as PlugIn);
    },
    all: () => [...plugIns],
  };
}
