export * from './cold_start_limiter.js';
