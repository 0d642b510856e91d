/**
 * Logs finished requests. Those that the first target answered are most of all
 * and tell little one by one: they are counted each second by the configuration
 * that routed them, and a sample of them is logged in full.
 */
import {hash32} from '@ibisbeam/decision';
import type {Logger} from '@ibisbeam/library';
import type {FinishedRequest} from './context.js';

export interface RequestLog {
  record(request: FinishedRequest): void;
  /** Logs how many requests were answered since the last call, if any were. */
  flush(): void;
}

export const ANSWERED_LOG_INTERVAL_MS = 1_000;
/** One in so many requests that the first target answered. */
const SAMPLE_INTERVAL = 16;
const FIRST_ERROR_STATUS = 400;

interface AnsweredCount {
  answered: number;
  longestMs: number;
}

export function createRequestLog(log: Logger): RequestLog {
  const countByConfiguration = new Map<number, AnsweredCount>();

  function count({configurationVersion, tookMs}: FinishedRequest): void {
    const known = countByConfiguration.get(configurationVersion);
    const counted = known ?? {answered: 0, longestMs: 0};
    counted.answered += 1;
    counted.longestMs = Math.max(counted.longestMs, tookMs);
    countByConfiguration.set(configurationVersion, counted);
  }

  return {
    record: request => {
      if (isAnsweredByFirstTarget(request)) {
        count(request);
        if (!isSampled(request.attemptId)) {
          return;
        }
      }
      logFinishedRequest(log, request);
    },
    flush: () => {
      for (const [configuration, counted] of countByConfiguration) {
        log.log('info', 'requests-answered', {
          configuration,
          answered: counted.answered,
          longestMs: Math.round(counted.longestMs),
        });
      }
      countByConfiguration.clear();
    },
  };
}

function isAnsweredByFirstTarget(request: FinishedRequest): boolean {
  return (
    request.outcome === 'answered' &&
    request.status < FIRST_ERROR_STATUS &&
    request.attempts === 1 &&
    request.lastPeer === undefined
  );
}

/** The same at all VMs, so that a relayed request is logged at both. */
function isSampled(attemptId: string | undefined): boolean {
  return attemptId === undefined || hash32(attemptId) % SAMPLE_INTERVAL === 0;
}

function logFinishedRequest(log: Logger, request: FinishedRequest): void {
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
