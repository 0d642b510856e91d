export * from './keys.js';
export * from './tokens.js';
export * from './types.js';
