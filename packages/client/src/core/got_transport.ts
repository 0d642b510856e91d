/** HTTP transport on top of got, with retries and redirects disabled. */
import {Agent} from 'node:http';
import got, {RequestError, TimeoutError} from 'got';
import type {Transport, TransportResult} from './types.js';

export function createGotTransport(): Transport {
  const agent = new Agent({keepAlive: true});
  const client = got.extend({
    agent: {http: agent},
    retry: {limit: 0},
    throwHttpErrors: false,
    followRedirect: false,
    decompress: false,
  });

  return async ({address, method, path, headers, body, timeoutMs}) => {
    try {
      const response = await client(`http://${address}${path}`, {
        method,
        headers,
        body,
        timeout: {request: Math.max(1, timeoutMs)},
        responseType: 'buffer',
      });
      return {
        kind: 'answered',
        status: response.statusCode,
        headers: joinHeaderValues(response.headers),
        body: response.body,
      };
    } catch (error) {
      return classifyError(error);
    }
  };
}

function joinHeaderValues(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  const single: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) {
      single[name] = Array.isArray(value) ? value.join(', ') : value;
    }
  }
  return single;
}

/**
 * `not-sent` if the connection was never established. After that, even a reset
 * connection may have delivered bytes, so the outcome is `broken`.
 */
function classifyError(error: unknown): TransportResult {
  const cause = error instanceof Error ? error.message : String(error);
  const neverConnected =
    error instanceof TimeoutError
      ? error.event === 'connect' || error.event === 'lookup'
      : error instanceof RequestError && error.code === 'ECONNREFUSED';
  return {kind: neverConnected ? 'not-sent' : 'broken', cause};
}
