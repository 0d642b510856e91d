/** Logs requests, emits their metrics and calls the `requestFinished` hooks. */
import type {RequestRecord} from '@ibisbeam/decision';
import type {TaskContext} from '../../core/kernel/index.js';
import type {ValidationRefusal} from './request_validator.js';

export interface RequestReporter {
  finished(record: RequestRecord): void;
  /** Reports a request that was refused before it was routed. */
  refusedEarly(refused: ValidationRefusal): void;
}

export function createRequestReporter(
  context: Pick<
    TaskContext,
    'settings' | 'random' | 'logger' | 'metrics' | 'hooks'
  >,
): RequestReporter {
  const {settings, random, logger, metrics, hooks} = context;

  function sampled(): boolean {
    return random.next() < settings.logs.requestSampling;
  }

  function logFinished(record: RequestRecord): void {
    const answered = record.result === 'answered';
    if (answered && !sampled()) {
      return;
    }
    logger.log('info', answered ? 'request-finished' : 'request-refused', {
      request: record.request,
      workspace: record.workspace,
      service: record.service,
      team: record.callingTeam,
      result: record.result,
      status: record.status,
      reason: record.refusal,
      attempts: record.attempts,
      durationMs: Math.round(record.durationMs),
    });
  }

  function callHooks(record: RequestRecord): void {
    for (const hook of hooks.requestFinished) {
      try {
        hook(record);
      } catch (error) {
        logger.log('error', 'task-failed', {
          task: 'forwarding',
          hook: 'requestFinished',
          error: String(error),
        });
      }
    }
  }

  return {
    finished: record => {
      const {service, workspace, result} = record;
      metrics.emit({
        kind: 'count',
        name: 'request.finished',
        tags: {service, workspace, result},
      });
      metrics.emit({
        kind: 'timing',
        name: 'request.duration',
        valueMs: record.durationMs,
        tags: {service, result},
      });
      if (record.refusal) {
        metrics.emit({
          kind: 'count',
          name: 'request.refused',
          tags: {reason: record.refusal},
        });
      }
      logFinished(record);
      callHooks(record);
    },
    refusedEarly: refused => {
      const {refusal} = refused;
      metrics.emit({
        kind: 'count',
        name: 'request.refused',
        tags: {reason: refusal.reason},
      });
      if (sampled()) {
        logger.log('info', 'request-refused', {
          request: refused.request,
          workspace: refused.workspace,
          service: refused.service,
          team: refused.callingTeam,
          reason: refusal.reason,
          detail: refusal.detail,
        });
      }
    },
  };
}
