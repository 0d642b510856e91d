/** Decides whether, when and where to resend after an attempt. Pure functions. */
import type {Method, TransportResult} from './types.js';

/** Maximum attempts per call, including the first. */
export const MAXIMUM_ATTEMPTS = 4;
/** A resend is skipped if less time than this would remain for it. */
export const MINIMUM_ATTEMPT_MS = 50;
const INITIAL_BACKOFF_MS = 50;

export type AttemptOutcome =
  | {readonly kind: 'answered'}
  | {
      readonly kind: 'not-run';
      readonly reason: string;
      readonly status?: number;
      readonly detail?: string;
      readonly retryAfterMs?: number;
    }
  | {
      readonly kind: 'unknown';
      readonly reason: string;
      readonly retryAfterMs?: number;
      /** False if no response arrived, so that only the client saw this. */
      readonly answeredByVm: boolean;
    };

/** Refusal reasons that are transient, so that a resend may succeed. */
const RETRYABLE_REASONS: ReadonlySet<string> = new Set([
  'no-configuration',
  'configuration-stale',
  'claim-unavailable',
  'region-full',
  'workspace-share-used',
  'shift-cap-reached',
  'link-budget-used',
  'no-healthy-target',
  'retry-budget-used',
  'vm-stopping',
  'overloaded',
  'not-connected',
]);

/**
 * Refusal reasons that concern one entry VM only. The resend goes to another
 * VM and does not wait for `Retry-After`.
 */
const VM_SPECIFIC_REASONS: ReadonlySet<string> = new Set([
  'no-configuration',
  'configuration-stale',
  'vm-stopping',
  'overloaded',
  'not-connected',
]);

/**
 * Another attempt holds the key: this attempt did not run, but the other one
 * may have, so the outcome of the operation is unknown.
 */
const KEY_IN_USE = 'idempotency-key-in-use';

export type ResendDecision =
  | {readonly kind: 'give-up'}
  | {
      readonly kind: 'resend';
      readonly pauseMs: number;
      readonly avoidSameVm: boolean;
    };

export function isIdempotentMethod(method: Method): boolean {
  return method === 'GET' || method === 'HEAD' || method === 'OPTIONS';
}

/**
 * An operation that may have run is resent with the same idempotency key, so
 * that it runs at most once and the resend returns the recorded response.
 *
 * @param attempts Attempts made so far, 1 or more.
 * @param random Uniform in [0, 1).
 */
export function decideResend(
  outcome: AttemptOutcome,
  method: Method,
  attempts: number,
  remainingMs: number,
  random: number,
): ResendDecision {
  if (outcome.kind === 'answered' || attempts >= MAXIMUM_ATTEMPTS) {
    return {kind: 'give-up'};
  }
  const backoffMs = INITIAL_BACKOFF_MS * 2 ** (attempts - 1) * (0.5 + random);
  const pauseMs = Math.max(outcome.retryAfterMs ?? 0, backoffMs);
  if (outcome.kind === 'not-run') {
    if (!RETRYABLE_REASONS.has(outcome.reason)) {
      return {kind: 'give-up'};
    }
    const avoidSameVm = VM_SPECIFIC_REASONS.has(outcome.reason);
    return resendIfTimeAllows(
      remainingMs,
      avoidSameVm ? backoffMs : pauseMs,
      avoidSameVm,
    );
  }
  const stillRunning = outcome.reason === KEY_IN_USE;
  if (outcome.answeredByVm && !stillRunning && !isIdempotentMethod(method)) {
    return {kind: 'give-up'};
  }
  return resendIfTimeAllows(remainingMs, pauseMs, !outcome.answeredByVm);
}

function resendIfTimeAllows(
  remainingMs: number,
  pauseMs: number,
  avoidSameVm: boolean,
): ResendDecision {
  if (pauseMs + MINIMUM_ATTEMPT_MS > remainingMs) {
    return {kind: 'give-up'};
  }
  return {kind: 'resend', pauseMs, avoidSameVm};
}

const PROBLEM_MEDIA_TYPE = 'application/problem+json';
const OUTCOME_HEADER = 'ibisbeam-outcome';
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Distinguishes a refusal by an entry VM, which carries the outcome header,
 * from a response of the target.
 */
export function classifyAttempt(result: TransportResult): AttemptOutcome {
  switch (result.kind) {
    case 'not-sent':
      return {kind: 'not-run', reason: 'not-connected', detail: result.cause};
    case 'broken':
      return {kind: 'unknown', reason: 'no-whole-answer', answeredByVm: false};
    case 'answered':
      return readRefusal(result) ?? {kind: 'answered'};
  }
}

function readRefusal(
  result: Extract<TransportResult, {kind: 'answered'}>,
): AttemptOutcome | undefined {
  const outcome = result.headers[OUTCOME_HEADER];
  const type = result.headers['content-type'] ?? '';
  if (outcome === undefined || !type.startsWith(PROBLEM_MEDIA_TYPE)) {
    return undefined;
  }
  const problem = parseProblem(result.body);
  const reason = problem.type.split('/').at(-1) || 'unstated';
  const seconds = Number(result.headers['retry-after']);
  const retryAfterMs = Number.isFinite(seconds)
    ? seconds * MILLISECONDS_PER_SECOND
    : undefined;
  if (outcome === 'not-run' && reason !== KEY_IN_USE) {
    const {status} = result;
    const {detail} = problem;
    return {kind: 'not-run', reason, status, detail, retryAfterMs};
  }
  return {kind: 'unknown', reason, retryAfterMs, answeredByVm: true};
}

function parseProblem(body: Uint8Array): {type: string; detail?: string} {
  try {
    const parsed = JSON.parse(Buffer.from(body).toString('utf8')) as unknown;
    if (typeof parsed === 'object' && parsed !== null) {
      const {type, detail} = parsed as {type?: unknown; detail?: unknown};
      return {
        type: typeof type === 'string' ? type : '',
        detail: typeof detail === 'string' ? detail : undefined,
      };
    }
  } catch {
    // The headers alone identify a refusal, so an unreadable body is ignored.
  }
  return {type: ''};
}
