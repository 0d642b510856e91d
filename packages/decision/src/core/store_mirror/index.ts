export * from './store_mirror.js';
export * from './watcher_selection.js';
export * from './store_version.js';
