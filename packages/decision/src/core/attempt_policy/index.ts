export * from './attempt_policy.js';
export * from './retry_allowance.js';
export * from './share_allowance.js';
