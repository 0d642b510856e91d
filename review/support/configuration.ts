/** Configurations in the form of PROTOCOL.md ("The operator's API"). */
import {CLIENT_HOST} from './zones.js';

export interface RouteOptions {
  readonly name: string;
  readonly pathPrefix: string;
  readonly routeType: 'idempotent' | 'non_idempotent' | 'download';
  readonly service: string;
  readonly timeoutMs: number;
}

export interface TenantOptions {
  readonly name: string;
  readonly apiKey: string;
}

/** @param tenants Without them, callers need no API keys. */
export function buildConfiguration(
  routes: readonly RouteOptions[],
  version = 7,
  tenants?: readonly TenantOptions[],
): Readonly<Record<string, unknown>> {
  const services = [...new Set(routes.map(route => route.service))];
  return {
    version,
    routes: routes.map(route => ({
      name: route.name,
      host: CLIENT_HOST,
      path_prefix: route.pathPrefix,
      route_type: route.routeType,
      timeout_ms: route.timeoutMs,
      target_latency_ms: Math.round(route.timeoutMs / 5),
      priority: 1,
      service: route.service,
      max_attempts: 2,
      sticky: false,
      auth_exempt: false,
      home_regions: [],
    })),
    ...(tenants && {
      tenants: tenants.map(({name, apiKey}) => ({
        name,
        api_keys: [apiKey],
        rate_per_s: 0,
        burst: 0,
      })),
    }),
    services: services.map(name => ({
      name,
      health_path: '/health',
      max_connections: 1_320,
      protocol: 'h1',
      tls: false,
      cold_start_s: 3,
      cold_per_s: 4.6,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}
