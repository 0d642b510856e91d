/** Membership of the entry VMs. */
import type {PlugInRegistry} from '../../core/kernel/index.js';
import {createMembershipTask} from './membership_task.js';

export function registerMembershipPlugIn(registry: PlugInRegistry): void {
  registry.register({
    name: 'membership',
    dependsOn: ['peer_links'],
    subscribesTo: [
      'peer-connected',
      'peer-disconnected',
      'peer-message',
      'configuration-in-force',
      'stop-began',
    ],
    onFailure: 'restart',
    create: createMembershipTask,
  });
}
