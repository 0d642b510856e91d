/**
 * Passes a request on to the caller port of a peer VM. What the answer tells of
 * targets is recorded by the peer only.
 */
import {
  type AttemptOutcome,
  type RelayOutcome,
  classifyPeerAnswer,
} from '@ibisbeam/decision';
import {headerValues} from '@ibisbeam/library';
import {connectTimeoutMs, maximumIdleMs} from './attempt_connections.js';
import {relayHeaders} from './attempt_headers.js';
import type {ForwardingContext} from './context.js';
import type {VmRecord} from '../peers/messages.js';
import type {ExchangeRequest} from './exchange_types.js';
import {withheldFromRegion} from './home_regions.js';
import {
  type AttemptRequest,
  type TargetAttempt,
  type TargetResponse,
  startTargetAttempt,
} from './target_attempt.js';

export interface RelaySendEvents extends Pick<
  AttemptRequest,
  'decideLongAnswer'
> {
  /** The peer may now forward the request. */
  onSent(): void;
  onEnd(outcome: RelayOutcome, response?: TargetResponse): void;
}

/** The pool that all peers share; an agent tells their addresses apart. */
const PEER_POOL = 'peers';
const MAXIMUM_IDLE_PEER_CONNECTIONS = 64;
const MILLISECONDS_PER_SECOND = 1_000;

/** @param respondByMs Time at which this VM answers in the peer's place. */
export function sendToPeer(
  context: ForwardingContext,
  request: ExchangeRequest,
  peer: VmRecord,
  respondByMs: number,
  events: RelaySendEvents,
): TargetAttempt {
  const {timers, peerConnections, protocol} = context;
  const {incoming, route} = request;
  const portStart = peer.callerAddress.lastIndexOf(':') + 1;
  return startTargetAttempt(
    {
      host: peer.callerAddress.slice(0, portStart - 1),
      port: Number(peer.callerAddress.slice(portStart)),
      method: incoming.method ?? 'GET',
      path: incoming.url ?? '/',
      headers: relayHeaders(
        context,
        request,
        peer.id,
        respondByMs - timers.nowMs(),
      ),
      body: request.body,
      memory: request.memory,
      decideLongAnswer: events.decideLongAnswer,
      attemptId: request.attemptId,
      agent: peerConnections.agentFor(PEER_POOL, {
        maximumIdleMs: maximumIdleMs(route.kind),
        maximumCount: MAXIMUM_IDLE_PEER_CONNECTIONS,
      }),
      connectTimeoutMs: connectTimeoutMs(context.region, peer.region),
    },
    protocol,
    context,
    {
      onSocket: socket => peerConnections.markInUse(socket),
      onSent: events.onSent,
      withheldBecause: () => withheldFromRegion(context, request, peer.region),
      onAnswer: () => {},
      onLoadReport: () => {},
      onRateLimit: () => {},
      onResponseHead: (sent, response) =>
        peerConnections.recordKeepAlive(sent, response),
      onAnswerComplete: peerConnections.expectNothing,
      onFurtherAnswer: () => context.onRefusedInput('peer', 'unexpected'),
      onRefused: (fault, bytes) => {
        context.onRefusedInput('peer', fault);
        context.log.log('warn', 'answer-refused', {
          request: request.attemptId,
          peer: peer.id,
          fault,
          bytes,
        });
      },
      onEnd: (outcome, response) =>
        events.onEnd(relayOutcome(outcome, response), response),
    },
  );

  function relayOutcome(
    outcome: AttemptOutcome,
    response: TargetResponse | undefined,
  ): RelayOutcome {
    if (outcome.kind !== 'answered' || !response) {
      return outcome;
    }
    const {responseSeal} = protocol.headers;
    const seals = headerValues(response.rawHeaders, responseSeal);
    const classified = classifyPeerAnswer(outcome.status, seals.length > 0);
    if (classified.kind !== 'answered' && response.body.kind === 'streaming') {
      response.body.stream.destroy();
    }
    return classified;
  }
}

/** Returns the Retry-After time that the peer states, if any. */
export function retryAfterMsOf(
  response: TargetResponse | undefined,
): number | undefined {
  const [text] = headerValues(response?.rawHeaders ?? [], 'retry-after');
  const seconds = Number(text);
  return text === undefined || !Number.isFinite(seconds) || seconds < 0
    ? undefined
    : seconds * MILLISECONDS_PER_SECOND;
}
