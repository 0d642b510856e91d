export * from './catalogue.js';
export * from './types.js';
