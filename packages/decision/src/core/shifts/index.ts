export * from './drained_targets.js';
export * from './planned_moves.js';
export * from './failover_registry.js';
