export * from './attempt_policy.js';
export * from './windowed_retry_budget.js';
export * from './fractional_token_bucket.js';
