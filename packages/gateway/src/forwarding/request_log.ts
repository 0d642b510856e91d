/** Logs finished requests. */
import type {Logger} from '@ibisbeam/library';
import type {FinishedRequest} from './context.js';

export function logFinishedRequest(
  log: Logger,
  request: FinishedRequest,
): void {
  const {lastPlacement} = request;
  log.log('info', 'request-finished', {
    request: request.attemptId,
    route: request.route,
    outcome: request.outcome,
    status: request.status,
    detail: request.detail || undefined,
    tookMs: Math.round(request.tookMs),
    tried: request.attempts,
    key: request.affinityKey,
    target: lastPlacement?.target.entry.id,
    zone: lastPlacement?.target.entry.zone,
    expectedMs: lastPlacement && Math.round(lastPlacement.expectedMs),
    waitMs: lastPlacement && Math.round(lastPlacement.waitMs),
    warm: lastPlacement?.warm,
  });
}
