export * from './crash_suspicions.js';
export * from './crash_tracker.js';
