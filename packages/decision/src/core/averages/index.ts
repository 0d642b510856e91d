export * from './sample_age.js';
