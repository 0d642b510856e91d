export * from './kernel.js';
export * from './mailbox.js';
export * from './registry.js';
export * from './start_order.js';
export * from './types.js';
