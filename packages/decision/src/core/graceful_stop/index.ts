export * from './stop_schedule.js';
