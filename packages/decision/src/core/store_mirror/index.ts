export * from './store_mirror.js';
export * from './watcher_selection.js';
export * from './missed_changes.js';
export * from './store_version.js';
