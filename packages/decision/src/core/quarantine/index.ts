export * from './crash_suspicions.js';
