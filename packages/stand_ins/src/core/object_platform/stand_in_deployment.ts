/** Bounds and routes of the stand-in deployments. */

/** Bounds as set by the users' smaller deployments. */
export const STAND_IN_BOUNDS = {
  drain_ms: 2_500,
  config_apply_ms: 2_500,
  grace_s: 6,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  retry_budget_slack: 58,
  ttl_max_s: 5,
  max_shift: 0.15,
};

/**
 * One service with an idempotent look-up and a non-idempotent booking route.
 *
 * @param homeRegions Home regions of the look-up route; empty for none.
 */
export function buildTwoRouteConfiguration(
  host: string,
  version: number,
  homeRegions: readonly string[] = [],
): Readonly<Record<string, unknown>> {
  const common = {
    host,
    timeout_ms: 1_000,
    target_latency_ms: 200,
    max_attempts: 2,
    service: 'rooms',
    sticky: true,
  };
  return {
    version,
    routes: [
      {
        ...common,
        name: 'look-up',
        path_prefix: '/rooms/',
        route_type: 'idempotent',
        home_regions: homeRegions,
      },
      {
        ...common,
        name: 'booking',
        path_prefix: '/book/',
        route_type: 'non_idempotent',
      },
    ],
    services: [{name: 'rooms', health_path: '/health'}],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_000_000,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}
