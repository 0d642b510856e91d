export * from './chunks.js';
export * from './collect_unused_chunks.js';
export * from './configured_entry_vms.js';
export * from './publish_change.js';
export * from './read_document.js';
export * from './types.js';
