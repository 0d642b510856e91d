/**
 * At-most-once execution of operations with an idempotency key. Keys chosen by
 * the caller are claimed in the store; tickets are claimed in the memory of the
 * incarnation that minted them.
 */
import {type MembershipView, assertNever} from '../model/index.js';
import type {
  Claims,
  ClaimsAction,
  ClaimsEvent,
  ClaimsOptions,
  StepTime,
} from './claims_types.js';
import {createDeferredWrites} from './deferred_writes.js';
import type {ClaimPeerMessage} from './peer_messages.js';
import {createRecentEnds} from './recent_ends.js';
import {createRemoteTickets} from './remote_tickets.js';
import {createStoreAccess} from './store_access.js';
import {createStoreClaims} from './store_claims.js';
import {createTicketClaims} from './ticket_claims.js';
import {type Ticket, parseTicket} from './tickets.js';
import type {ClaimDecision, ClaimEnd, ClaimRequest} from './types.js';

export function createClaims(options: ClaimsOptions): Claims {
  let actions: ClaimsAction[] = [];
  let now: StepTime = {nowMs: 0, wallMs: 0};
  let view: MembershipView | undefined;
  /** Keys, by nonce, of operations that run here under a ticket of this VM. */
  const localTickets = new Map<string, ClaimRequest['key']>();
  let lastLocalNonce = 0;
  const emit = (action: ClaimsAction) => {
    actions.push(action);
  };
  const store = createStoreAccess(emit, options.random);
  const deferredWrites = createDeferredWrites(
    store,
    options.random,
    () => view?.vms.size ?? 1,
    options.deferredWritesPerSecond,
    () => emit({kind: 'note', note: 'record-lost'}),
  );
  const storeClaims = createStoreClaims({
    options,
    store,
    deferredWrites,
    recentEnds: createRecentEnds(),
    emit,
    view: () => view,
    time: () => now,
  });
  const tickets = createTicketClaims(options, deferredWrites);
  const remoteTickets = createRemoteTickets({
    options,
    store,
    deferredWrites,
    emit,
    isMintingVmGone,
  });

  /** Whether the incarnation that minted the ticket is known to have ended. */
  function isMintingVmGone(ticket: Ticket): boolean {
    if (ticket.vm === options.vm) {
      return !tickets.isOwnTicket(ticket);
    }
    const mintingVm = view?.vms.get(ticket.vm);
    return mintingVm?.state === 'gone';
  }

  function begin(correlationId: number, request: ClaimRequest): void {
    const ticket = parseTicket(request.key.idempotencyKey);
    if (!ticket) {
      storeClaims.begin(correlationId, request, now);
      return;
    }
    if (!tickets.isOwnTicket(ticket)) {
      remoteTickets.begin(correlationId, request, ticket, now);
      return;
    }
    lastLocalNonce += 1;
    const nonce = `${options.incarnation}.${options.epoch}.t${lastLocalNonce}`;
    const {key, fingerprint, remainingMs} = request;
    const ticketBegin = {
      key,
      ticket,
      fingerprint,
      nonce,
      deadlineMs: remainingMs,
    };
    decideTicket(ticketBegin, request, decision => {
      if (decision.kind === 'run') {
        localTickets.set(nonce, key);
      }
      emit({kind: 'decide', correlationId, decision});
    });
  }

  function decideTicket(
    ticketBegin: Parameters<typeof tickets.begin>[0],
    request: Pick<ClaimRequest, 'key' | 'fingerprint' | 'firstAttempt'>,
    onDecision: (decision: ClaimDecision) => void,
  ): void {
    const decision = tickets.begin(ticketBegin, now);
    if (decision) {
      onDecision(decision);
    } else {
      remoteTickets.decideFromStore(request, onDecision);
    }
  }

  function end(correlationId: number, token: string, claimEnd: ClaimEnd): void {
    const key = localTickets.get(token);
    if (key) {
      localTickets.delete(token);
      const recorded = tickets.end(key, token, claimEnd, now);
      emit({kind: 'ended', correlationId, recorded});
      return;
    }
    const known =
      storeClaims.end(correlationId, token, claimEnd, now) ||
      remoteTickets.end(correlationId, token, claimEnd, now);
    if (!known) {
      emit({kind: 'ended', correlationId, recorded: false});
    }
  }

  function handlePeerMessage(
    from: Ticket['vm'],
    message: ClaimPeerMessage,
  ): void {
    switch (message.kind) {
      case 'ticket-begin':
        handleTicketBegin(from, message);
        return;
      case 'ticket-decision':
        remoteTickets.handleDecision(message.nonce, message.decision);
        return;
      case 'ticket-end': {
        const {key, nonce, end: claimEnd} = message;
        const known = tickets.end(key, nonce, claimEnd, now);
        send(from, {kind: 'ticket-end-kept', nonce, known});
        return;
      }
      case 'ticket-end-kept':
        remoteTickets.handleEndKept(message.nonce, message.known);
        return;
      default:
        assertNever(message);
    }
  }

  function send(to: Ticket['vm'], message: ClaimPeerMessage): void {
    emit({kind: 'send', to, message});
  }

  function handleTicketBegin(
    from: Ticket['vm'],
    message: Extract<ClaimPeerMessage, {kind: 'ticket-begin'}>,
  ): void {
    const {nonce, key} = message;
    const reply = (decision: ClaimDecision) =>
      send(from, {kind: 'ticket-decision', nonce, decision});
    const ticket = parseTicket(key.idempotencyKey);
    if (!ticket || !tickets.isOwnTicket(ticket)) {
      remoteTickets.decideFromStore(message, reply);
      return;
    }
    decideTicket({...message, ticket}, message, reply);
  }

  function handle(event: ClaimsEvent): void {
    switch (event.kind) {
      case 'begin':
        begin(event.correlationId, event.request);
        return;
      case 'end':
        end(event.correlationId, event.token, event.end);
        return;
      case 'store-answered':
        store.handleResult(event.call, event.result, now.nowMs);
        return;
      case 'peer-message':
        handlePeerMessage(event.from, event.message);
        return;
      case 'membership-changed':
        view = event.view;
        return;
      case 'tick':
        storeClaims.tick(now);
        tickets.tick(now);
        remoteTickets.tick(now);
        deferredWrites.tick(now.nowMs);
        return;
      default:
        assertNever(event);
    }
  }

  return {
    step: (event, time) => {
      actions = [];
      now = time;
      handle(event);
      return actions;
    },
    mintTicket: time => tickets.mint(time),
    status: () => ({
      held: storeClaims.heldCount() + localTickets.size,
      deferredWrites: deferredWrites.size(),
      tickets: tickets.size(),
      storeAvailable: store.backoffMs(now.nowMs) === 0,
    }),
  };
}
