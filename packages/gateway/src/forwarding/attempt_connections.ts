/** Limits of the connections that attempts at targets and peers use. */
import {type RouteKind, isRetryable} from '@ibisbeam/decision';

/** An address in this region that takes longer counts as unreachable. */
const CONNECT_TIMEOUT_MS = 150;
/** The round trip to another region takes about 40 ms. */
const CROSS_REGION_CONNECT_TIMEOUT_MS = 300;
/**
 * Idle time after which a pooled connection is not used for a non-idempotent
 * request: the other end may be about to close it, and the request could not be
 * repeated.
 */
const NON_IDEMPOTENT_MAXIMUM_IDLE_MS = 1_500;
/** Idle limit of pooled connections for requests that can be repeated. */
const RETRYABLE_MAXIMUM_IDLE_MS = 60_000;

export function connectTimeoutMs(fromRegion: string, toRegion: string): number {
  return fromRegion === toRegion
    ? CONNECT_TIMEOUT_MS
    : CROSS_REGION_CONNECT_TIMEOUT_MS;
}

export function maximumIdleMs(kind: RouteKind): number {
  return isRetryable(kind)
    ? RETRYABLE_MAXIMUM_IDLE_MS
    : NON_IDEMPOTENT_MAXIMUM_IDLE_MS;
}
