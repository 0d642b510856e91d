/** Stand-ins for the platform and for targets, for tests and benchmarks only. */
export * from './core/bounded_waits/index.js';
export * from './core/deployments/index.js';
export * from './core/operator_folder/index.js';
export * from './core/platform_store/index.js';
export * from './core/targets/index.js';
export * from './core/keys/index.js';
export * from './core/local_deployment/index.js';
export * from './core/object_platform/index.js';
