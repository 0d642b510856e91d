/** Every plug-in of an entry VM; each folder registers its own. */
import {type Steering, createBlockTableBuilder} from '@ibisbeam/decision';
import {createCallerRoutes} from '../core/http/index.js';
import type {PlugInRegistry, TaskContext} from '../core/kernel/index.js';
import {registerForwardingPlugIn} from './forwarding/index.js';
import {registerLookupPlugIn} from './lookup/index.js';

export interface PlugInOptions {
  /** Another steering state machine, for tests of the parts around it. */
  readonly createSteering: (context: TaskContext) => Steering;
}

export function registerPlugIns(
  registry: PlugInRegistry,
  options: PlugInOptions,
): void {
  const routes = createCallerRoutes();
  const blockTables = createBlockTableBuilder();
  registerLookupPlugIn(registry, {routes, blockTables});
  registerForwardingPlugIn(registry, {
    routes,
    blockTables,
    createSteering: options.createSteering,
  });
}
