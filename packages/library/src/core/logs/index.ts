export * from './bounded_writer.js';
export * from './deduplicated_log.js';
export * from './key_value_logger.js';
export * from './line_logger.js';
export * from './parse_log_line.js';
export * from './rate_limited_logger.js';
export * from './types.js';
