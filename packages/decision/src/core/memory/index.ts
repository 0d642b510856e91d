export * from './byte_budget.js';
