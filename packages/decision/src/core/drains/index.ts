/** Planned drains: scope, headroom check and progress. */
export * from './check_drain.js';
export * from './drain_progress.js';
export * from './drain_scope.js';
export * from './region_drain.js';
