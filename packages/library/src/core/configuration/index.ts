export * from './chunks.js';
export * from './collect_chunks.js';
export * from './known_entry_vms.js';
export * from './publish_change.js';
export * from './read_document.js';
export * from './types.js';
