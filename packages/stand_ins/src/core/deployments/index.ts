export * from './build_deployment.js';
export * from './deployment_specifications.js';
export * from './types.js';
