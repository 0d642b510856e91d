/** The gateway: an entry VM on a platform that lists targets for it. */
export * from './core/protocol.js';
export * from './core/settings.js';
export * from './gateway.js';
