export * from './peer_messages.js';
export * from './types.js';
