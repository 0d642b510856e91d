/** Builds the request headers of an attempt. */
import type {RegisteredTarget} from '@ibisbeam/decision';
import type {ForwardingContext} from './context.js';
import type {ExchangeRequest} from './exchange_types.js';
import {endToEndRawHeaders} from './header_rules.js';

/** Targets read a deadline of 0 as no deadline. */
const MINIMUM_DEADLINE_MS = 1;

/**
 * The client's end-to-end headers and those set by the gateway.
 *
 * @returns A flat list of names and values.
 */
export function attemptHeaders(
  context: ForwardingContext,
  request: ExchangeRequest,
  target: RegisteredTarget,
  nowMs: number,
): readonly string[] {
  const {headers} = context.protocol;
  const {route, incoming, body} = request;
  const deadlineAtMs = Math.min(
    request.arrivedAtMs + route.timeoutMs,
    request.clientDeadlineMs ?? Infinity,
  );
  const timeLeftMs = Math.max(
    MINIMUM_DEADLINE_MS,
    Math.floor(deadlineAtMs - nowMs),
  );
  const rawHeaders = endToEndRawHeaders(
    incoming.rawHeaders,
    context.droppedHeaders,
  );
  rawHeaders.push(
    headers.deadlineMs,
    String(timeLeftMs),
    headers.expectedTarget,
    target.entry.id,
  );
  if (body !== undefined) {
    rawHeaders.push('Content-Length', String(body.length));
  }
  return rawHeaders;
}
