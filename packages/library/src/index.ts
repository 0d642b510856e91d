/** The library from which the entry daemon is made. */
export * from './core/access/index.js';
export * from './core/errors/index.js';
export * from './core/http/index.js';
export * from './core/kernel/index.js';
export * from './core/logs/index.js';
export * from './core/messages/index.js';
export * from './core/metrics/index.js';
export * from './core/platform/index.js';
export * from './core/settings/index.js';
export * from './core/timers/index.js';
export * from './core/vm/index.js';
export * from './plugins/index.js';
export * from './plugins/forwarding/index.js';
export * from './plugins/lookup/index.js';
