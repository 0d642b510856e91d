import type {PlugIn} from './types.js';
import type {TaskName} from '../messages/index.js';

/** Plug-ins register themselves here; a daemon takes all or some. */
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
