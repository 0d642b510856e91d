/**
 * At most once. Keys of the caller's own are fenced in the store; tickets are
 * fenced by the memory of the incarnation that minted them.
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
  /** Keys of operations under our own tickets that run on this VM. */
  const localTickets = new Map<string, ClaimRequest['key']>();
  let lastLocalNonce = 0;
  const emit = (action: ClaimsAction) => {
    actions.push(action);
  };
  const store = createStoreAccess(emit, options.random);
  const late = createDeferredWrites(
    store,
    options.random,
    () => view?.vms.size ?? 1,
    options.deferredWritesPerSecond,
    () => emit({kind: 'note', note: 'record-lost'}),
  );
  const storeClaims = createStoreClaims({
    options,
    store,
    late,
    recent: createRecentEnds(),
    emit,
    view: () => view,
    time: () => now,
  });
  const tickets = createTicketClaims(options, late);
  const remote = createRemoteTickets({options, store, late, emit, isGone});

  /** Whether the incarnation that minted the ticket is known to have ended. */
  function isGone(ticket: Ticket): boolean {
    if (ticket.vm === options.vm) {
      return !tickets.isOurs(ticket);
    }
    const minter = view?.vms.get(ticket.vm);
    return minter?.state === 'gone';
  }

  function begin(question: number, request: ClaimRequest): void {
    const ticket = parseTicket(request.key.idempotencyKey);
    if (!ticket) {
      storeClaims.begin(question, request, now);
      return;
    }
    if (!tickets.isOurs(ticket)) {
      remote.begin(question, request, ticket, now);
      return;
    }
    lastLocalNonce += 1;
    const nonce = `${options.incarnation}.${options.epoch}.t${lastLocalNonce}`;
    const {key, fingerprint, deadlineMs} = request;
    const asked = {key, ticket, fingerprint, nonce, deadlineMs};
    decideTicket(asked, request, decision => {
      if (decision.kind === 'run') {
        localTickets.set(nonce, key);
      }
      emit({kind: 'decide', correlationId: question, decision});
    });
  }

  function decideTicket(
    asked: Parameters<typeof tickets.begin>[0],
    request: Pick<ClaimRequest, 'key' | 'fingerprint' | 'firstAttempt'>,
    then: (decision: ClaimDecision) => void,
  ): void {
    const decision = tickets.begin(asked, now);
    if (decision) {
      then(decision);
    } else {
      remote.lookInStore(request, then);
    }
  }

  function end(question: number, token: string, ended: ClaimEnd): void {
    const key = localTickets.get(token);
    if (key) {
      localTickets.delete(token);
      const recorded = tickets.end(key, token, ended, now);
      emit({kind: 'ended', correlationId: question, recorded});
      return;
    }
    const known =
      storeClaims.end(question, token, ended, now) ||
      remote.end(question, token, ended, now);
    if (!known) {
      emit({kind: 'ended', correlationId: question, recorded: false});
    }
  }

  function takePeerMessage(
    from: Ticket['vm'],
    message: ClaimPeerMessage,
  ): void {
    switch (message.kind) {
      case 'ticket-begin':
        answerBegin(from, message);
        return;
      case 'ticket-decision':
        remote.takeDecision(message.nonce, message.decision);
        return;
      case 'ticket-end': {
        const {key, nonce, end: ended} = message;
        const known = tickets.end(key, nonce, ended, now);
        send(from, {kind: 'ticket-end-kept', nonce, known});
        return;
      }
      case 'ticket-end-kept':
        remote.takeEndKept(message.nonce, message.known);
        return;
      default:
        assertNever(message);
    }
  }

  function send(to: Ticket['vm'], message: ClaimPeerMessage): void {
    emit({kind: 'send', to, message});
  }

  function answerBegin(
    from: Ticket['vm'],
    message: Extract<ClaimPeerMessage, {kind: 'ticket-begin'}>,
  ): void {
    const {nonce, key} = message;
    const reply = (decision: ClaimDecision) =>
      send(from, {kind: 'ticket-decision', nonce, decision});
    const ticket = parseTicket(key.idempotencyKey);
    if (!ticket || !tickets.isOurs(ticket)) {
      remote.lookInStore(message, reply);
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
        store.answered(event.call, event.result, now.nowMs);
        return;
      case 'peer-message':
        takePeerMessage(event.from, event.message);
        return;
      case 'membership-changed':
        view = event.view;
        return;
      case 'tick':
        storeClaims.tick(now);
        tickets.tick(now);
        remote.tick(now);
        late.tick(now.nowMs);
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
      held: storeClaims.held() + localTickets.size,
      deferredWrites: late.size(),
      tickets: tickets.size(),
      storeAvailable: store.distrustMs(now.nowMs) === 0,
    }),
  };
}
