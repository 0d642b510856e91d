export * from './statsd_metrics.js';
export * from './types.js';
