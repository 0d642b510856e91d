/** Every plug-in of an entry VM; each folder registers its own. */
import type {PlugInRegistry} from '../core/kernel/index.js';
import {registerClaimsPlugIn} from './claims/index.js';
import {registerConfigurationPlugIn} from './configuration/index.js';
import {registerMembershipPlugIn} from './membership/index.js';
import {registerPeerLinksPlugIn} from './peer_links/index.js';

export function registerPlugIns(registry: PlugInRegistry): void {
  registerPeerLinksPlugIn(registry);
  registerMembershipPlugIn(registry);
  registerConfigurationPlugIn(registry);
  registerClaimsPlugIn(registry);
}
