/** The relays of one request: peers are tried one after the other. */
import {type RelayOutcome, choosePeer} from '@ibisbeam/decision';
import type {ForwardingContext} from './context.js';
import type {ExchangeRequest, RunningRelay} from './exchange_types.js';
import {homeRegionsInForce} from './home_regions.js';
import {type RelaySendEvents, sendToPeer} from './relay_send.js';
import type {TargetAttempt, TargetResponse} from './target_attempt.js';

export interface Relays {
  /**
   * Passes the request on to a peer that was not tried yet; returns undefined
   * if none may take it.
   */
  start(): RunningRelay | undefined;
  /** Number of peers tried so far. */
  tried(): number;
  /** The peer tried last; undefined before the first. */
  lastPeer(): string | undefined;
}

export interface RelayEvents extends Pick<RelaySendEvents, 'decideLongAnswer'> {
  /** The peer may now forward the request. */
  onSent(relay: RunningRelay): void;
  /** Called once for each relay, unless it is cancelled first. */
  onEnd(
    relay: RunningRelay,
    outcome: RelayOutcome,
    response?: TargetResponse,
  ): void;
}

/** @param respondByMs Time at which this VM answers in the peer's place. */
export function createRelays(
  context: ForwardingContext,
  request: ExchangeRequest,
  respondByMs: number,
  events: RelayEvents,
): Relays {
  const {timers, log} = context;
  const {service} = request;
  const triedPeers = new Set<string>();
  let lastPeer: string | undefined;

  function start(): RunningRelay | undefined {
    // A second hop could lead back here.
    if (request.isRelayed) {
      return undefined;
    }
    const homeRegions = homeRegionsInForce(context, request);
    if (!homeRegions) {
      return undefined;
    }
    const peer = choosePeer({
      peers: context.relayPeers(),
      zone: context.zone,
      region: context.region,
      homeRegions,
      excluded: triedPeers,
      spreadKey: request.attemptId ?? String(request.arrivedAtMs),
    });
    if (!peer) {
      return undefined;
    }
    lastPeer = peer.id;
    triedPeers.add(peer.id);
    log.log('info', 'request-relayed', {
      request: request.attemptId,
      peer: peer.id,
      reason: context.targetReach(),
    });
    let sending: TargetAttempt | undefined;
    let isCancelled = false;
    const relay: RunningRelay = {
      kind: 'relay',
      peer,
      startedAtMs: timers.nowMs(),
      handle: {
        cancel: () => {
          isCancelled = true;
          sending?.cancel();
          context.onRelayEnded(service, 'cancelled');
        },
        reviewLongAnswer: () => sending?.reviewLongAnswer() ?? false,
      },
    };
    context.sendScheduler.schedule(() => {
      if (isCancelled) {
        return;
      }
      sending = sendToPeer(context, request, peer, respondByMs, {
        decideLongAnswer: events.decideLongAnswer,
        onSent: () => events.onSent(relay),
        onEnd: (outcome, response) => {
          recordEnd(relay, outcome);
          events.onEnd(relay, outcome, response);
        },
      });
    });
    return relay;
  }

  function recordEnd(relay: RunningRelay, outcome: RelayOutcome): void {
    context.onRelayEnded(service, outcome.kind);
    if (outcome.kind === 'answered') {
      return;
    }
    log.log('info', 'relay-failed', {
      request: request.attemptId,
      peer: relay.peer.id,
      outcome: outcome.kind,
      detail: 'cause' in outcome ? outcome.cause : outcome.status,
      tookMs: Math.round(timers.nowMs() - relay.startedAtMs),
    });
  }

  return {
    start,
    tried: () => triedPeers.size,
    lastPeer: () => lastPeer,
  };
}
