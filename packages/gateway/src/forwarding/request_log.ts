/** The log line of a request that has ended. */
import type {Logger} from '@ibisbeam/library';
import type {FinishedRequest} from './context.js';

export function logFinished(log: Logger, request: FinishedRequest): void {
  const {placed} = request;
  log.log('info', 'request-finished', {
    request: request.attemptId,
    route: request.route,
    outcome: request.outcome,
    status: request.status,
    detail: request.detail || undefined,
    tookMs: Math.round(request.tookMs),
    tried: request.tried,
    key: request.affinityKey,
    target: placed?.target.entry.id,
    zone: placed?.target.entry.zone,
    expectedMs: placed && Math.round(placed.expectedMs),
    waitMs: placed && Math.round(placed.waitMs),
    warm: placed?.warm,
  });
}
