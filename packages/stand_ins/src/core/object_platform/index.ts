export * from './endless_answer.js';
export * from './fleet_target.js';
export * from './local_fleet.js';
export * from './object_store.js';
export * from './rate_limit_rule.js';
export * from './stand_in_deployment.js';
