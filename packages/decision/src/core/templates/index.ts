export * from './compile.js';
export * from './fill_in.js';
export * from './types.js';
