export * from './stated_rate_limits.js';
