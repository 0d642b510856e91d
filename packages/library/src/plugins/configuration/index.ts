/** Rollout of the configuration to this VM. */
import type {PlugInRegistry} from '../../core/kernel/index.js';
import {
  type MinimumGeneration,
  createConfigurationTask,
} from './configuration_task.js';

export function registerConfigurationPlugIn(registry: PlugInRegistry): void {
  const minimum: MinimumGeneration = {};
  registry.register({
    name: 'configuration',
    dependsOn: ['peer_links', 'membership'],
    subscribesTo: [
      'peer-connected',
      'peer-disconnected',
      'peer-message',
      'membership-changed',
    ],
    onFailure: 'restart',
    create: context => createConfigurationTask(context, minimum),
  });
}
