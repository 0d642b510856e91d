import type {PlugInRegistry} from '../../core/kernel/index.js';
import {createJournalTask} from './journal_task.js';

/** Registers the task that records what the VM did. */
export function registerJournalPlugIn(registry: PlugInRegistry): void {
  registry.register({
    name: 'journal',
    dependsOn: [],
    subscribesTo: [
      'configuration-in-force',
      'freshness-changed',
      'membership-changed',
      'peer-connected',
      'peer-disconnected',
      'request-finished',
      'steering-note',
      'stop-began',
      'store-reachability',
    ],
    onFailure: 'restart',
    create: createJournalTask,
  });
}
