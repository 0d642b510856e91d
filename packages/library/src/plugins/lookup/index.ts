/** The look-up plug-in: lists the entry VMs that a caller should use. */
import type {PlugInRegistry} from '../../core/kernel/index.js';
import {type LookupDependencies, createLookupTask} from './lookup.js';

export type {LookupDependencies} from './lookup.js';

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
    create: context => createLookupTask(context, dependencies),
  });
}
