/** Service-level objectives: request counts, error budgets and burn rates. */
export * from './budget_rules.js';
export * from './burn_rates.js';
export * from './burn_report.js';
export * from './burn_types.js';
export * from './counts.js';
export * from './coverage.js';
export * from './latency_histogram.js';
