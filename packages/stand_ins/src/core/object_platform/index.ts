export * from './fleet_target.js';
export * from './local_fleet.js';
export * from './object_store.js';
export * from './rate_limit_rule.js';
export * from './recover_rule.js';
export * from './stand_in_deployment.js';
export * from './target_links.js';
export * from './target_signal_rules.js';
