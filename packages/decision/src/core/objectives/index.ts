/** Service-level objectives: what is counted, and what is left of the budget. */
export * from './budget_rules.js';
export * from './burn_rates.js';
export * from './burn_report.js';
export * from './burn_types.js';
export * from './counts.js';
export * from './coverage.js';
export * from './latency_histogram.js';
