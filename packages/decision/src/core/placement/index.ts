export * from './affinity_placement.js';
export * from './service_times.js';
export * from './target_load.js';
export * from './warm_keys.js';
export * from './demand_meter.js';
export * from './region_shares.js';
export * from './client_patience.js';
export * from './dispatch_rule.js';
