export * from './local_deployment.js';
export * from './reserve_addresses.js';
