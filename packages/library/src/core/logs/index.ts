export * from './burst_log.js';
export * from './key_value_logger.js';
export * from './types.js';
