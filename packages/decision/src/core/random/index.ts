export * from './random_source.js';
export * from './rendezvous.js';
