export * from './create_rollout.js';
export * from './freshness.js';
export * from './manifest.js';
export * from './peer_messages.js';
export * from './rollout_types.js';
export * from './types.js';
