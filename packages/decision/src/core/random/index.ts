export * from './random_source.js';
