export * from './input_read.js';
export * from './manual_timer_service.js';
export * from './system_timer_service.js';
export * from './types.js';
