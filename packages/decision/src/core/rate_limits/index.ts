export * from './connection_shares.js';
export * from './fleet_rate_limiter.js';
export * from './sharing_vms.js';
export * from './stated_rate_limits.js';
export * from './target_rate_limiters.js';
