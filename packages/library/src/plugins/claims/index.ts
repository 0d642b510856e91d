/** At-most-once execution of non-idempotent operations. */
import type {PlugInRegistry} from '../../core/kernel/index.js';
import {createClaimsTask} from './claims_task.js';

export function registerClaimsPlugIn(registry: PlugInRegistry): void {
  let lastEpoch = 0;
  registry.register({
    name: 'claims',
    dependsOn: ['peer_links', 'membership'],
    subscribesTo: ['membership-changed', 'peer-message'],
    onFailure: 'restart',
    create: context => {
      lastEpoch += 1;
      return createClaimsTask(context, lastEpoch);
    },
  });
}
