import type {PlugInRegistry} from '../../core/kernel/index.js';
import {createOperatorPortTask} from './operator_port_task.js';

/** Registers the HTTP interface for operators. */
export function registerOperatorPortPlugIn(registry: PlugInRegistry): void {
  registry.register({
    name: 'operator_port',
    dependsOn: [],
    subscribesTo: [
      'configuration-in-force',
      'store-reachability',
      'stop-began',
    ],
    onFailure: 'restart',
    create: createOperatorPortTask,
  });
}
