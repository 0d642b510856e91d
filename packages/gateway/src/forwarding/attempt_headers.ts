/** Builds the request headers of an attempt. */
import type {RegisteredTarget} from '@ibisbeam/decision';
import type {ForwardingContext} from './context.js';
import type {ExchangeRequest} from './exchange_types.js';
import {encodeHeaderText, endToEndRawHeaders} from './header_rules.js';

/** Targets read a deadline of 0 as no deadline. */
const MINIMUM_DEADLINE_MS = 1;

/**
 * The client's end-to-end headers and those that the gateway sets for a target.
 *
 * @returns A flat list of names and values.
 */
export function attemptHeaders(
  context: ForwardingContext,
  request: ExchangeRequest,
  target: RegisteredTarget,
  nowMs: number,
): readonly string[] {
  const {expectedTarget} = context.protocol.headers;
  return [
    ...forwardedHeaders(context, request, targetDeadlineAtMs(request) - nowMs),
    expectedTarget,
    target.entry.id,
  ];
}

/** When a target stops work on the request by itself. */
export function targetDeadlineAtMs({
  arrivedAtMs,
  route,
  clientDeadlineMs,
}: ExchangeRequest): number {
  return Math.min(arrivedAtMs + route.timeoutMs, clientDeadlineMs ?? Infinity);
}

/**
 * The client's end-to-end headers and those that the gateway sets for a peer,
 * which is told the workspace instead of the API key.
 *
 * @param timeLeftMs Time until this VM answers in the peer's place.
 * @returns A flat list of names and values.
 */
export function relayHeaders(
  context: ForwardingContext,
  request: ExchangeRequest,
  peerId: string,
  timeLeftMs: number,
): readonly string[] {
  const {relayedFor, relayToken} = context.protocol.headers;
  const token = context.relayTokenOf(peerId);
  return [
    ...forwardedHeaders(context, request, timeLeftMs),
    relayedFor,
    request.clientAddress,
    ...(token === undefined ? [] : [relayToken, token]),
  ];
}

function forwardedHeaders(
  context: ForwardingContext,
  {incoming, body, caller}: ExchangeRequest,
  timeLeftMs: number,
): string[] {
  const rawHeaders = endToEndRawHeaders(
    incoming.rawHeaders,
    caller.kind === 'any'
      ? context.droppedHeaders
      : context.droppedCallerHeaders,
  );
  if (caller.kind === 'workspace') {
    rawHeaders.push(
      context.protocol.headers.workspace,
      encodeHeaderText(caller.workspace.name),
    );
  }
  rawHeaders.push(
    context.protocol.headers.deadlineMs,
    String(Math.max(MINIMUM_DEADLINE_MS, Math.floor(timeLeftMs))),
  );
  if (body !== undefined) {
    rawHeaders.push('Content-Length', String(body.length));
  }
  return rawHeaders;
}
