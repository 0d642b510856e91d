export * from './bounded_waits.js';
