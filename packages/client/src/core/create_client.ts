/** Client: look-up, choice of entry VM, deadlines and resends. */
import {randomUUID} from 'node:crypto';
import {EitherAsync, Left, Right, type Either} from 'purify-ts';
import * as z from 'zod';
import {createEntryVmCache} from './entry_vm_cache.js';
import {createGotTransport} from './got_transport.js';
import {
  type AttemptOutcome,
  decideResend,
  isIdempotentMethod,
  classifyAttempt,
} from './resend_rules.js';
import {createSystemTimers} from './system_timers.js';
import type {
  CallAnswer,
  CallFailure,
  CallRequest,
  ClientOptions,
  IbisbeamClient,
  TransportResult,
} from './types.js';

const TICKET_TIMEOUT_MS = 1_000;
const ticketSchema = z.object({idempotencyKey: z.string().min(1).max(255)});

const DEADLINE_EXPIRED: AttemptOutcome = {
  kind: 'not-run',
  reason: 'deadline-expired',
};

/** State of one call across its attempts. */
interface CallState {
  readonly request: CallRequest;
  readonly requestId: string;
  /** Deadline on the clock of `ClientTimers`. */
  readonly endMs: number;
  key: string | undefined;
  /** The entry VM that issued the ticket; only it may run the operation. */
  ticketAddress: string | undefined;
  /** Whether this call or an earlier one has sent an attempt with the key. */
  keySent: boolean;
  /** Whether an attempt of this call may have run. */
  mayHaveRun: boolean;
  attempts: number;
  lastAddress: string | undefined;
}

export function createClient(options: ClientOptions): IbisbeamClient {
  const timers = options.timers ?? createSystemTimers();
  const transport = options.transport ?? createGotTransport();
  const random = options.random ?? randomFraction;
  const uniqueId = options.uniqueId ?? randomUUID;
  const cache = createEntryVmCache({
    seeds: options.seeds,
    timers,
    transport,
    random,
    lookupRequest: async service => ({
      path: lookupPath(options, service),
      headers: {authorization: `Bearer ${await options.token()}`},
    }),
  });

  async function run(
    request: CallRequest,
  ): Promise<Either<CallFailure, CallAnswer>> {
    const state = startState(request);
    if (state.key !== undefined && !state.keySent) {
      await options.keepIdempotencyKey?.(state.key);
    }
    for (;;) {
      const remainingMs = Math.floor(state.endMs - timers.nowMs());
      if (remainingMs <= 0) {
        return Left(buildFailure(state, DEADLINE_EXPIRED));
      }
      const result = await attempt(state, remainingMs);
      const outcome = classifyAttempt(result);
      if (result.kind === 'answered' && outcome.kind === 'answered') {
        return Right(buildResponse(state, result));
      }
      if (outcome.kind === 'unknown' && state.key !== undefined) {
        state.mayHaveRun = true;
      }
      if (shouldTakeTicket(state, outcome) && (await takeTicket(state))) {
        continue;
      }
      const decision = decideResend(
        outcome,
        request.method,
        state.attempts,
        state.endMs - timers.nowMs(),
        random(),
      );
      if (decision.kind === 'give-up') {
        return Left(buildFailure(state, outcome));
      }
      if (decision.avoidSameVm && state.lastAddress !== undefined) {
        cache.avoid(state.lastAddress);
      }
      await timers.sleep(decision.pauseMs);
    }
  }

  function startState(request: CallRequest): CallState {
    const idempotent = isIdempotentMethod(request.method);
    return {
      request,
      requestId: uniqueId(),
      endMs: timers.nowMs() + request.deadlineMs,
      key: idempotent ? undefined : (request.idempotencyKey ?? uniqueId()),
      ticketAddress: undefined,
      keySent: request.resend ?? false,
      mayHaveRun: !idempotent && (request.resend ?? false),
      attempts: 0,
      lastAddress: undefined,
    };
  }

  async function attempt(
    state: CallState,
    remainingMs: number,
  ): Promise<TransportResult> {
    const {request} = state;
    const previous = state.attempts > 0 ? state.lastAddress : undefined;
    const address =
      state.ticketAddress ?? (await cache.choose(request.service, previous));
    state.attempts += 1;
    state.lastAddress = address;
    const headers: Record<string, string> = {
      ...request.headers,
      authorization: `Bearer ${await options.token()}`,
      'ibisbeam-request-id': state.requestId,
      'ibisbeam-deadline-ms': String(remainingMs),
    };
    if (options.clientAddress !== undefined) {
      headers['ibisbeam-client'] = options.clientAddress;
    }
    if (state.key !== undefined) {
      headers['idempotency-key'] = state.key;
      if (!state.keySent) {
        headers['ibisbeam-first-attempt'] = 'true';
      }
      state.keySent = true;
    }
    return transport({
      address,
      method: request.method,
      path: servicePath(options.workspace, request),
      headers,
      body: request.body,
      timeoutMs: remainingMs,
    });
  }

  /**
   * A ticket replaces the idempotency key, which is safe only while no attempt
   * with the current key can have run.
   */
  function shouldTakeTicket(
    state: CallState,
    outcome: AttemptOutcome,
  ): boolean {
    return (
      state.request.allowTicket === true &&
      state.key !== undefined &&
      state.ticketAddress === undefined &&
      !state.mayHaveRun &&
      outcome.kind === 'not-run' &&
      outcome.reason === 'claim-unavailable'
    );
  }

  async function takeTicket(state: CallState): Promise<boolean> {
    const address = state.lastAddress!;
    const result = await transport({
      address,
      method: 'POST',
      path: '/v1/tickets',
      headers: {authorization: `Bearer ${await options.token()}`},
      timeoutMs: TICKET_TIMEOUT_MS,
    });
    const ticket = readTicket(result);
    if (ticket === undefined) {
      return false;
    }
    state.key = ticket;
    state.keySent = false;
    state.ticketAddress = address;
    await options.keepIdempotencyKey?.(ticket);
    return true;
  }

  return {
    call: request => EitherAsync.fromPromise(() => run(request)),
    lookUp: service => cache.choices(service),
  };
}

function buildResponse(
  state: CallState,
  answered: Extract<TransportResult, {kind: 'answered'}>,
): CallAnswer {
  return {
    status: answered.status,
    headers: answered.headers,
    body: answered.body,
    requestId: state.requestId,
    idempotencyKey: state.key,
    replayed: answered.headers['ibisbeam-replayed'] === 'true',
    attempts: state.attempts,
  };
}

/**
 * Reports `unknown` if an earlier attempt may have run: the refusal of a resend
 * says nothing about the outcome of that attempt.
 */
function buildFailure(state: CallState, outcome: AttemptOutcome): CallFailure {
  const {requestId, attempts, key: idempotencyKey} = state;
  const reason = outcome.kind === 'answered' ? 'answered' : outcome.reason;
  if (outcome.kind === 'not-run' && !state.mayHaveRun) {
    const {status, detail, retryAfterMs} = outcome;
    return {
      kind: 'not-run',
      reason,
      status,
      detail,
      retryAfterMs,
      requestId,
      attempts,
    };
  }
  return {kind: 'unknown', reason, idempotencyKey, requestId, attempts};
}

function readTicket(result: TransportResult): string | undefined {
  if (result.kind !== 'answered' || result.status !== 201) {
    return undefined;
  }
  try {
    const text = Buffer.from(result.body).toString('utf8');
    return ticketSchema.safeParse(JSON.parse(text)).data?.idempotencyKey;
  } catch {
    return undefined;
  }
}

function lookupPath(options: ClientOptions, service: string): string {
  const query = new URLSearchParams({workspace: options.workspace, service});
  if (options.clientAddress !== undefined) {
    query.set('client', options.clientAddress);
  }
  return `/v1/entry-vms?${query.toString()}`;
}

function servicePath(workspace: string, {service, path}: CallRequest): string {
  const place = `${encodeURIComponent(workspace)}/services/${encodeURIComponent(service)}`;
  return `/v1/workspaces/${place}${path}`;
}

const FRACTION_RANGE = 2 ** 32;

/** Uniform in [0, 1). Not seeded, since no decision needs to be reproducible. */
function randomFraction(): number {
  const [word] = crypto.getRandomValues(new Uint32Array(1));
  return word! / FRACTION_RANGE;
}
