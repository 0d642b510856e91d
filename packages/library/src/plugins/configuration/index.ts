/** The configuration in force. */
import type {PlugInRegistry} from '../../core/kernel/index.js';
import {
  type GenerationFloor,
  createConfigurationTask,
} from './configuration_task.js';

export function registerConfigurationPlugIn(registry: PlugInRegistry): void {
  const floor: GenerationFloor = {};
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
    create: context => createConfigurationTask(context, floor),
  });
}
