/** The gateway: an entry VM for platforms that list targets in a store. */
export * from './core/checked_array.js';
export * from './core/input_faults.js';
export * from './core/protocol.js';
export * from './core/settings.js';
export * from './gateway.js';
export {
  type ConnectToTarget,
  type TargetAddress,
  createTargetConnections,
} from './forwarding/target_connections.js';
