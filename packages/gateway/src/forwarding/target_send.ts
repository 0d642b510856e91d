/** Sends an attempt to its target and records what the target tells. */
import type {AttemptOutcome} from '@ibisbeam/decision';
import {readAnswerStatement} from './answer_statement.js';
import {connectTimeoutMs, maximumIdleMs} from './attempt_connections.js';
import {attemptHeaders} from './attempt_headers.js';
import type {ForwardingContext} from './context.js';
import type {ExchangeRequest, RunningAttempt} from './exchange_types.js';
import {withheldFromRegion} from './home_regions.js';
import {
  type AttemptRequest,
  type TargetAttempt,
  type TargetResponse,
  startTargetAttempt,
} from './target_attempt.js';

export interface TargetSendEvents extends Pick<
  AttemptRequest,
  'decideLongAnswer'
> {
  /** The target may now run the request. */
  onSent(isNewConnection: boolean): void;
  onEnd(outcome: AttemptOutcome, response?: TargetResponse): void;
}

export function sendToTarget(
  context: ForwardingContext,
  request: ExchangeRequest,
  attempt: RunningAttempt,
  events: TargetSendEvents,
): TargetAttempt {
  const {timers, targetLoad, connections} = context;
  const {incoming, route} = request;
  const {target} = attempt.placement;
  const {incarnation, entry} = target;
  return startTargetAttempt(
    {
      host: entry.host,
      port: entry.port,
      method: incoming.method ?? 'GET',
      path: incoming.url ?? '/',
      headers: attemptHeaders(context, request, target, timers.nowMs()),
      body: request.body,
      memory: request.memory,
      decideLongAnswer: events.decideLongAnswer,
      attemptId: request.attemptId,
      agent: connections.agentFor(incarnation, {
        maximumIdleMs: maximumIdleMs(route.kind),
        maximumCount: context.maximumIdleConnections(entry.service),
      }),
      connectTimeoutMs: connectTimeoutMs(context.region, target.region),
    },
    context.protocol,
    context,
    {
      onSocket: socket => connections.markInUse(socket),
      onSent: isReused => {
        if (!isReused) {
          context.reachEvidence.recordConnection(target);
        }
        events.onSent(!isReused);
      },
      withheldBecause: () =>
        context.availability.withheldBecause(incarnation) ??
        withheldFromRegion(context, request, target.region),
      onAnswer: head => {
        const nowWallMs = timers.wallMs();
        const statement = readAnswerStatement(
          context.protocol,
          head,
          nowWallMs,
        );
        attempt.isPauseStated = statement.pauseMs !== undefined;
        context.availability.recordAnswer(target, statement);
      },
      onLoadReport: report => {
        const nowMs = timers.nowMs();
        attempt.workTimeRatio = report.workTimeRatio;
        targetLoad.recordReport(incarnation, report, nowMs);
        context.congestion.record(incarnation, report, nowMs);
        context.typicalLoad.record(entry.service, report, nowMs);
      },
      onRateLimit: perSecond => context.onRateLimitAnswer(target, perSecond),
      onResponseHead: (sent, response) => {
        context.reachEvidence.recordAnswer();
        connections.recordKeepAlive(sent, response);
      },
      onAnswerComplete: connections.expectNothing,
      onFurtherAnswer: () => context.onRefusedInput('target', 'unexpected'),
      onRefused: (fault, bytes) => {
        context.onRefusedInput('target', fault);
        context.log.log('warn', 'answer-refused', {
          request: request.attemptId,
          target: entry.id,
          fault,
          bytes,
        });
      },
      onEnd: events.onEnd,
    },
  );
}
