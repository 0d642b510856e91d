export * from './shares.js';
export * from './slot_ledger.js';
export * from './share_growth.js';
