export * from './tokens.js';
export * from './types.js';
