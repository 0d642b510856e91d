/** The gateway: an entry VM for platforms that list targets in a store. */
export * from './core/protocol.js';
export * from './core/settings.js';
export type {TargetReach} from './forwarding/context.js';
export * from './gateway.js';
