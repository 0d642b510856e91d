export * from './memory_platform.js';
export * from './types.js';
