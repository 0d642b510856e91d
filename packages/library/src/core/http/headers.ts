/** Headers of the caller port and of the way to targets. */
import type {IncomingHttpHeaders} from 'node:http';

export const REQUEST_ID_HEADER = 'ibisbeam-request-id';
/** Remaining time in milliseconds. */
export const DEADLINE_HEADER = 'ibisbeam-deadline-ms';
export const OUTCOME_HEADER = 'ibisbeam-outcome';
export const LEAVING_HEADER = 'ibisbeam-leaving';
export const RELAY_TOKEN_HEADER = 'ibisbeam-relay-token';
/** Address of the client on whose behalf a caller asks. */
export const CLIENT_HEADER = 'ibisbeam-client';
/** Tell the target who asks; set by the entry VM only. */
export const WORKSPACE_HEADER = 'ibisbeam-workspace';
export const CALLING_TEAM_HEADER = 'ibisbeam-calling-team';
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
/** `true`: the caller never sent this Idempotency-Key before. */
export const FIRST_ATTEMPT_HEADER = 'ibisbeam-first-attempt';
/** Marks an answer given again from the record of the first run. */
export const REPLAYED_HEADER = 'ibisbeam-replayed';

const BEARER_PREFIX = 'Bearer ';

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
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
 * Headers that may go on, without hop-by-hop ones and without those that the
 * Connection header lists.
 *
 * @param dropped Lower-case names of further headers to leave out.
 */
export function endToEndHeaders(
  headers: IncomingHttpHeaders,
  dropped: ReadonlySet<string>,
): Record<string, HeaderValue> {
  const listed = connectionOptions(headers.connection);
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
 * Names in lower case that a Connection header lists as its own. Absent for
 * the usual values, which name no header.
 */
export function connectionOptions(
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

/** The token of `Authorization: Bearer <token>`, or nothing. */
export function bearerToken(headers: IncomingHttpHeaders): string | undefined {
  const {authorization} = headers;
  if (!authorization?.startsWith(BEARER_PREFIX)) {
    return undefined;
  }
  return authorization.slice(BEARER_PREFIX.length).trim();
}

/** First value of a header, which a sender may have repeated. */
export function singleHeader(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
