/** Every plug-in of an entry VM; each folder registers its own. */
import type {PlugInRegistry} from '../core/kernel/index.js';
import {registerBurnPlugIn} from './burn/index.js';
import {registerJournalPlugIn} from './journal/index.js';
import {registerOperatorPortPlugIn} from './operator_port/index.js';

export {readSummary} from './burn/index.js';
export {registerBurnPlugIn, registerJournalPlugIn, registerOperatorPortPlugIn};

/** The journal and the burn counts come first, and so stop last. */
export function registerPlugIns(registry: PlugInRegistry): void {
  registerJournalPlugIn(registry);
  registerBurnPlugIn(registry);
  registerOperatorPortPlugIn(registry);
}
