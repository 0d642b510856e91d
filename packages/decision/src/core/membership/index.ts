export * from './create_membership.js';
export * from './overlay.js';
export * from './peer_messages.js';
export * from './types.js';
export * from './registration_ages.js';
