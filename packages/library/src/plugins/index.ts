/** Every plug-in of an entry VM; each folder registers its own. */
import {createBlockTableBuilder} from '@ibisbeam/decision';
import {createCallerRoutes} from '../core/http/index.js';
import type {PlugInRegistry} from '../core/kernel/index.js';
import {registerBurnPlugIn} from './burn/index.js';
import {registerClaimsPlugIn} from './claims/index.js';
import {registerConfigurationPlugIn} from './configuration/index.js';
import {registerForwardingPlugIn} from './forwarding/index.js';
import {registerJournalPlugIn} from './journal/index.js';
import {registerLookupPlugIn} from './lookup/index.js';
import {registerMembershipPlugIn} from './membership/index.js';
import {registerOperatorPortPlugIn} from './operator_port/index.js';
import {registerPeerLinksPlugIn} from './peer_links/index.js';

/**
 * The journal and the burn counts come first, and so stop last. Forwarding
 * comes last: its planned stop needs all others.
 */
export function registerPlugIns(registry: PlugInRegistry): void {
  const routes = createCallerRoutes();
  const blockTables = createBlockTableBuilder();
  registerJournalPlugIn(registry);
  registerBurnPlugIn(registry);
  registerPeerLinksPlugIn(registry);
  registerMembershipPlugIn(registry);
  registerConfigurationPlugIn(registry);
  registerClaimsPlugIn(registry);
  registerOperatorPortPlugIn(registry);
  registerLookupPlugIn(registry, {routes, blockTables});
  registerForwardingPlugIn(registry, {routes, blockTables});
}
