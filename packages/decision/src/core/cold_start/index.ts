export * from './cold_allowance.js';
