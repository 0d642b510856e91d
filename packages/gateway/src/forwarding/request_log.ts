/** Logs finished requests. */
import type {Logger} from '@ibisbeam/library';
import type {FinishedRequest} from './context.js';

export function logFinishedRequest(
  log: Logger,
  request: FinishedRequest,
): void {
  const {lastPlacement} = request;
  // Lines are limited per level, so those of callers that left are not crowded
  // out by the others.
  const level = request.outcome === 'client-left' ? 'warn' : 'info';
  log.log(level, 'request-finished', {
    request: request.attemptId,
    route: request.route,
    workspace: request.workspace,
    configuration: request.configurationVersion,
    outcome: request.outcome,
    status: request.status,
    detail: request.detail || undefined,
    tookMs: Math.round(request.tookMs),
    tried: request.attempts,
    sinceAttemptMs: roundDefined(request.sinceLastAttemptMs),
    key: request.affinityKey,
    peer: request.lastPeer,
    target: lastPlacement?.target.entry.id,
    zone: lastPlacement?.target.entry.zone,
    expectedMs: roundDefined(lastPlacement?.expectedMs),
    waitMs: roundDefined(lastPlacement?.waitMs),
    warm: lastPlacement?.warm,
  });
}

function roundDefined(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value);
}
