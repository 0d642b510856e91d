export * from './store_mirror.js';
export * from './watcher_selection.js';
