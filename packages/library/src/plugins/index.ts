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
 * Registers all plug-ins of an entry VM. Tasks stop in reverse order of
 * registration: journal and burn come first, so that they record what happens
 * while the others stop; forwarding comes last, because its graceful stop
 * needs all other tasks.
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
