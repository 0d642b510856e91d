/** The forwarding plug-in: serves the caller port and sends to the targets. */
import type {PlugInRegistry} from '../../core/kernel/index.js';
import {
  type ForwardingDependencies,
  createForwardingTask,
} from './forwarder.js';

export type {ForwardingDependencies} from './forwarder.js';

export function registerForwardingPlugIn(
  registry: PlugInRegistry,
  dependencies: ForwardingDependencies,
): void {
  registry.register<'forwarding'>({
    name: 'forwarding',
    dependsOn: ['lookup', 'claims'],
    subscribesTo: [
      'configuration-in-force',
      'freshness-changed',
      'membership-changed',
      'peer-message',
      'target-leaving-signal',
    ],
    onFailure: 'fatal',
    create: context => createForwardingTask(context, dependencies),
  });
}
