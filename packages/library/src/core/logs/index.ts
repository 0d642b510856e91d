export * from './bounded_writer.js';
export * from './burst_log.js';
export * from './key_value_logger.js';
export * from './line_logger.js';
export * from './parse_line.js';
export * from './rated_logger.js';
export * from './types.js';
