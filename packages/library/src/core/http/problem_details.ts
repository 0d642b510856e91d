/**
 * Refusals as problem details (RFC 9457). Each states whether the request may
 * have run.
 */
import type {ServerResponse} from 'node:http';
import type {Outcome, RefusalReason, RequestId} from '@ibisbeam/decision';
import {OUTCOME_HEADER, REQUEST_ID_HEADER} from './headers.js';

const PROBLEM_TYPE_PREFIX = 'https://ibisbeam.example/problems/';
const PROBLEM_MEDIA_TYPE = 'application/problem+json';
const MILLISECONDS_PER_SECOND = 1_000;

export interface Refusal {
  readonly reason: RefusalReason;
  readonly outcome: Outcome;
  readonly retryAfterMs?: number;
  /** What is wrong with this request, for the caller. */
  readonly detail?: string;
}

interface RefusalDescriptor {
  /** HTTP status if the outcome is `not-run`. */
  readonly status: number;
  readonly title: string;
}

const refusalDescriptors: Readonly<Record<RefusalReason, RefusalDescriptor>> = {
  'no-configuration': {
    status: 503,
    title: 'This entry VM has no configuration yet.',
  },
  'configuration-stale': {
    status: 503,
    title: 'This entry VM cannot tell whether its configuration is current.',
  },
  'unknown-workspace': {status: 404, title: 'There is no such workspace.'},
  'unknown-service': {
    status: 404,
    title: 'The workspace uses no such service.',
  },
  unauthenticated: {status: 401, title: 'The token is missing or not valid.'},
  'not-approved': {
    status: 403,
    title: 'The owner of the service has not approved this calling team.',
  },
  'malformed-request': {status: 400, title: 'The request is malformed.'},
  'request-too-large': {status: 413, title: 'The request is too large.'},
  'idempotency-key-missing': {
    status: 400,
    title: 'A non-idempotent request needs an Idempotency-Key.',
  },
  'idempotency-key-reused': {
    status: 422,
    title: 'The Idempotency-Key belongs to a different request.',
  },
  'idempotency-key-in-use': {
    status: 409,
    title: 'A request with this Idempotency-Key has not ended yet.',
  },
  'claim-unavailable': {
    status: 503,
    title: 'No claim for the Idempotency-Key could be made.',
  },
  'outcome-unknown': {
    status: 409,
    title: 'It is not known whether this operation ran.',
  },
  'answer-not-kept': {
    status: 409,
    title: 'The operation ran before; its answer was too long to keep.',
  },
  'deadline-expired': {status: 503, title: 'The deadline has passed.'},
  'deadline-too-short': {
    status: 503,
    title: 'No target can answer within the deadline.',
  },
  'region-full': {status: 503, title: 'The region has no free slot.'},
  'workspace-share-used': {
    status: 429,
    title: 'The workspace uses all of its part of the pool.',
  },
  'shift-cap-reached': {
    status: 503,
    title: 'The cap on traffic shifts leaves no room for this request.',
  },
  'link-budget-used': {
    status: 503,
    title: 'The link between the regions is full.',
  },
  'no-healthy-target': {status: 503, title: 'No target can take the request.'},
  'retry-budget-used': {status: 503, title: 'The retry budget is used up.'},
  'request-quarantined': {
    status: 503,
    title: 'Targets died after this request; it is not sent again.',
  },
  'target-failed': {status: 502, title: 'The target gave no whole answer.'},
  'vm-stopping': {status: 503, title: 'This entry VM is stopping.'},
  overloaded: {status: 503, title: 'This entry VM has too much to do.'},
};

/**
 * Returns the HTTP status of a refusal. With an unknown outcome, the status must
 * not read as "not run": it is 504 if the deadline passed, 409 for a resend whose
 * first run has no known end, and 502 otherwise.
 */
export function httpStatusOfRefusal(refusal: Refusal): number {
  const {status} = refusalDescriptors[refusal.reason];
  if (refusal.outcome === 'not-run' || status === 409) {
    return status;
  }
  return refusal.reason === 'deadline-expired' ? 504 : 502;
}

/** Body of a refusal: RFC 9457 members, and `outcome` and `requestId`. */
export function buildProblemDetails(refusal: Refusal, request?: RequestId) {
  return {
    type: PROBLEM_TYPE_PREFIX + refusal.reason,
    title: refusalDescriptors[refusal.reason].title,
    status: httpStatusOfRefusal(refusal),
    detail: refusal.detail,
    outcome: refusal.outcome,
    requestId: request,
  };
}

/** Value of a Retry-After header in seconds, rounded up, at least 1. */
export function formatRetryAfter(retryAfterMs: number): string {
  return String(Math.max(1, Math.ceil(retryAfterMs / MILLISECONDS_PER_SECOND)));
}

/** Sends a refusal; the response headers must not have been sent yet. */
export function writeRefusal(
  response: ServerResponse,
  refusal: Refusal,
  request?: RequestId,
  extraHeaders: Readonly<Record<string, string>> = {},
): void {
  const body = JSON.stringify(buildProblemDetails(refusal, request));
  const headers: Record<string, string | number> = {
    'content-type': PROBLEM_MEDIA_TYPE,
    'content-length': Buffer.byteLength(body),
    'cache-control': 'no-store',
    [OUTCOME_HEADER]: refusal.outcome,
    ...extraHeaders,
  };
  if (request) {
    headers[REQUEST_ID_HEADER] = request;
  }
  if (refusal.retryAfterMs !== undefined) {
    headers['retry-after'] = formatRetryAfter(refusal.retryAfterMs);
  }
  response.writeHead(httpStatusOfRefusal(refusal), headers);
  response.end(body);
}
