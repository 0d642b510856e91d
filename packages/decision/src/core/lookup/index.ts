export * from './addresses.js';
export * from './block_table.js';
export * from './directory.js';
export * from './region_choice.js';
export * from './types.js';
