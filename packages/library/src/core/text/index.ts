export * from './format.js';
