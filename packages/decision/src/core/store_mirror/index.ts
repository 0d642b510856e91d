export * from './store_mirror.js';
export * from './watch_duty.js';
