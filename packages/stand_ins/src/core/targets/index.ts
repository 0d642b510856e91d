export * from './stand_in_target.js';
export * from './types.js';
