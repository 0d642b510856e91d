export * from './key_table.js';
