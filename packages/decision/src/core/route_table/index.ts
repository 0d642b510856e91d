export * from './home_regions.js';
export * from './route_table.js';
export * from './types.js';
export * from './objectives.js';
