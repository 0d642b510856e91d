export * from './hashing.js';
