/** Domain types shared by all packages. */
export * from './configuration.js';
export * from './identifiers.js';
export * from './membership_view.js';
export * from './policy.js';
export * from './random.js';
export * from './requests.js';
export * from './topology.js';
