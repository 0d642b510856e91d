/** Headers of the caller port and of requests to targets. */
import type {IncomingHttpHeaders} from 'node:http';

export const REQUEST_ID_HEADER = 'ibisbeam-request-id';
/** Time left until the deadline, in milliseconds. */
export const DEADLINE_HEADER = 'ibisbeam-deadline-ms';
/** Set on refusals only: `not-run` or `unknown`. */
export const OUTCOME_HEADER = 'ibisbeam-outcome';
/** `true` in the response of a target that is about to stop. */
export const LEAVING_HEADER = 'ibisbeam-leaving';
/** Token of the entry VM that relays a request to another entry VM. */
export const RELAY_TOKEN_HEADER = 'ibisbeam-relay-token';
/** IP address of the client on whose behalf the caller sends the request. */
export const CLIENT_ADDRESS_HEADER = 'ibisbeam-client';
/** Identify the caller to the target; only the entry VM sets them. */
export const WORKSPACE_HEADER = 'ibisbeam-workspace';
export const CALLING_TEAM_HEADER = 'ibisbeam-calling-team';
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
/** `true` if the caller has not sent this Idempotency-Key before. */
export const FIRST_ATTEMPT_HEADER = 'ibisbeam-first-attempt';
/** Marks a response that is replayed from the record of the first run. */
export const REPLAYED_HEADER = 'ibisbeam-replayed';

const BEARER_PREFIX = 'Bearer ';

/** Hop-by-hop headers (RFC 9110, section 7.6.1). */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

export type HeaderValue = string | string[];

/**
 * Returns the headers to forward: all but hop-by-hop headers and those that the
 * Connection header lists.
 *
 * @param dropped Lower-case names of further headers to omit.
 */
export function selectEndToEndHeaders(
  headers: IncomingHttpHeaders,
  dropped: ReadonlySet<string>,
): Record<string, HeaderValue> {
  const listed = parseConnectionOptions(headers.connection);
  const kept: Record<string, HeaderValue> = {};
  for (const name in headers) {
    const value = headers[name];
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) {
      continue;
    }
    if (dropped.has(name) || listed?.has(name)) {
      continue;
    }
    kept[name] = value;
  }
  return kept;
}

/**
 * Returns the connection options of a Connection header in lower case, or
 * `undefined` for the usual values, which name no header.
 */
export function parseConnectionOptions(
  connection: string | undefined,
): ReadonlySet<string> | undefined {
  if (!connection || connection === 'keep-alive' || connection === 'close') {
    return undefined;
  }
  const names = new Set<string>();
  for (const part of connection.split(',')) {
    names.add(part.trim().toLowerCase());
  }
  return names;
}

/** Returns the token of `Authorization: Bearer <token>`, if there is one. */
export function extractBearerToken(
  headers: IncomingHttpHeaders,
): string | undefined {
  const {authorization} = headers;
  if (!authorization?.startsWith(BEARER_PREFIX)) {
    return undefined;
  }
  return authorization.slice(BEARER_PREFIX.length).trim();
}

/** Returns the first value of a header that may be repeated. */
export function firstHeaderValue(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
