export * from './build_deployment.js';
export * from './deployment_facts.js';
export * from './types.js';
