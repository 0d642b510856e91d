export * from './claim_record.js';
export * from './claim_sweep.js';
export * from './claims_types.js';
export * from './create_claims.js';
export * from './deferred_writes.js';
export * from './peer_messages.js';
export * from './tickets.js';
export * from './types.js';
