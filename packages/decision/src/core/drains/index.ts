/** Planned drains: what they touch, whether they fit, how far they are. */
export * from './check_drain.js';
export * from './drain_progress.js';
export * from './drain_scope.js';
export * from './region_drain.js';
