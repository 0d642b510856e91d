export * from './store_mirror.js';
export * from './watcher_selection.js';
export * from './copy_freshness.js';
export * from './isolation.js';
export * from './missed_changes.js';
export * from './store_version.js';
