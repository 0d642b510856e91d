export * from './parameters.js';
export * from './peer_messages.js';
export * from './steering.js';
export * from './types.js';
