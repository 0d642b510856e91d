export * from './route_table.js';
export * from './types.js';
