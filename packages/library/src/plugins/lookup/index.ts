/** The look-up plug-in: tells callers which entry VMs to use. */
import type {BlockTableBuilder} from '@ibisbeam/decision';
import type {CallerRoutes} from '../../core/http/index.js';
import type {PlugInRegistry} from '../../core/kernel/index.js';
import {createLookup} from './lookup.js';

export interface LookupDependencies {
  readonly routes: CallerRoutes;
  /** Shared with forwarding, so that sections are parsed once. */
  readonly blockTables: BlockTableBuilder;
}

export function registerLookupPlugIn(
  registry: PlugInRegistry,
  dependencies: LookupDependencies,
): void {
  registry.register<'lookup'>({
    name: 'lookup',
    dependsOn: [],
    subscribesTo: [
      'configuration-in-force',
      'membership-changed',
      'stop-began',
    ],
    onFailure: 'restart',
    create: context => createLookup(context, dependencies),
  });
}
