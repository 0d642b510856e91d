/** Divides the connections that a target accepts among the VMs. */

/** The remainder is for connections in use, and for VMs not heard of yet. */
const IDLE_FRACTION = 0.6;
const MAXIMUM_IDLE_CONNECTIONS = 24;

/**
 * Returns how many idle connections one VM may keep to a target.
 *
 * @param accepted Connections that the target accepts from all VMs together.
 * @param vmCount Number of VMs that share them, this one included.
 */
export function maximumIdleConnections(
  accepted: number,
  vmCount: number,
): number {
  const share = Math.floor((accepted * IDLE_FRACTION) / Math.max(1, vmCount));
  return Math.min(MAXIMUM_IDLE_CONNECTIONS, Math.max(1, share));
}
