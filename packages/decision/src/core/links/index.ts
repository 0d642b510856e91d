export * from './link_budgets.js';
