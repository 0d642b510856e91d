export * from './ahead_queue.js';
export * from './byte_budget.js';
export * from './piece_meter.js';
