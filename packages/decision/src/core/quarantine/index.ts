export * from './crash_suspicions.js';
export * from './crash_tracker.js';
export * from './recent_answers.js';
