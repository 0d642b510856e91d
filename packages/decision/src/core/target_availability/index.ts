export * from './pool_availability.js';
export * from './resume_allowance.js';
export * from './stated_availability.js';
