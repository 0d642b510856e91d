export * from './retry_budget.js';
export * from './latency_window.js';
