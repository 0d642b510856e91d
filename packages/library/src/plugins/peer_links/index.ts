/** WebSocket links to other entry VMs. */
import type {PlugInRegistry} from '../../core/kernel/index.js';
import {createPeerLinksTask} from './peer_links_task.js';

export function registerPeerLinksPlugIn(registry: PlugInRegistry): void {
  registry.register({
    name: 'peer_links',
    dependsOn: [],
    subscribesTo: ['configuration-in-force'],
    onFailure: 'restart',
    create: createPeerLinksTask,
  });
}
