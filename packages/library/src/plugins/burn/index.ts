import type {PlugInRegistry} from '../../core/kernel/index.js';
import {createBurnTask} from './burn_task.js';

/** Registers the task that counts requests for the burn report. */
export function registerBurnPlugIn(registry: PlugInRegistry): void {
  registry.register({
    name: 'burn',
    dependsOn: [],
    subscribesTo: ['request-finished', 'configuration-in-force'],
    onFailure: 'restart',
    create: createBurnTask,
  });
}
export * from './summary_writer.js';
export * from './expired_summaries.js';
