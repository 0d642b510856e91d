export * from './peer_choice.js';
export * from './relay_policy.js';
