export * from './stand_in_keys.js';
