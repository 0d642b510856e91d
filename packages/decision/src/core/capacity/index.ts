export * from './shares.js';
export * from './holdings.js';
export * from './share_growth.js';
