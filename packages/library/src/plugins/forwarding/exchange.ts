/** Handles one request from admission through its attempts to its response. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {
  AttemptDestination,
  AttemptResult,
  ClaimDecision,
} from '@ibisbeam/decision';
import {
  type Refusal,
  httpStatusOfRefusal,
  writeRefusal,
} from '../../core/http/index.js';
import {createResponseDelivery} from './response_delivery.js';
import {writeRecordedAnswer} from './response_writer.js';
import {isBodylessResponse, contentLengthOf} from './attempt.js';
import {createAttemptSet} from './attempt_set.js';
import {type ClaimGuard, createClaimGuard} from './claim_guard.js';
import {buildClaimRefusal} from './claim_refusal.js';
import type {Exchange, ExchangeDependencies} from './exchange_types.js';
import type {ValidatedRequest} from './request_validator.js';
import {type Settlement, buildRequestRecord} from './request_record.js';
import type {RunningAttempt, SendAttemptAction} from './running_attempt.js';

export function createExchange(
  request: ValidatedRequest,
  response: ServerResponse,
  dependencies: ExchangeDependencies,
): Exchange {
  const {context, sender, step} = dependencies;
  const {timers, settings} = context;
  const {metadata, policy} = request;
  const startedAtMs = timers.nowMs();
  const startedAtWallMs = timers.wallMs();
  const running = createAttemptSet({
    request,
    sender,
    timers,
    step,
    sent: () => {
      possibleRuns += 1;
    },
    responseStarted: onResponseStarted,
    data: onData,
    finished: onFinished,
  });
  const claim: ClaimGuard | undefined = metadata.idempotent
    ? undefined
    : createClaimGuard(context, request);
  const delivery = createResponseDelivery(request, response, timers);
  const explanation: string[] = [];
  let attempts = 0;
  let destination: AttemptDestination | undefined;
  /** Number of attempts that were sent and not reported as not run. */
  let possibleRuns = 0;
  let settlement: Settlement | undefined;
  /** Writes the response that waits until the claim has recorded it. */
  let pendingWrite: (() => void) | undefined;
  let callerGone = false;
  let recorded = false;

  const deadline = timers.at(metadata.deadlineMs, onDeadline);
  response.once('close', onClose);

  function outcome(): Refusal['outcome'] {
    return possibleRuns > 0 ? 'unknown' : 'not-run';
  }

  function settle(next: Settlement): void {
    settlement = next;
    deadline.cancel();
    claim?.abandon();
  }

  /** Notifies steering, then stops the attempts that it has not cancelled. */
  function cancelAttempts(result: (sent: boolean) => AttemptResult): void {
    step({kind: 'request-cancelled', request: metadata.id});
    running.stopAll(result);
  }

  function refuse(refusal: Refusal, timedOut = false): void {
    if (settlement) {
      return;
    }
    if (delivery.streamingAttempt()) {
      abortResponse({kind: 'cancelled', sent: true});
      return;
    }
    const reported: Refusal = {
      ...refusal,
      outcome: possibleRuns > 0 ? 'unknown' : refusal.outcome,
    };
    settle({
      result: reported.outcome === 'unknown' ? 'unknown' : 'refused',
      status: httpStatusOfRefusal(reported),
      refusal: reported.reason,
    });
    void claim?.end({kind: outcome()});
    cancelAttempts(sent =>
      timedOut ? {kind: 'timed-out'} : {kind: 'cancelled', sent},
    );
    if (callerGone) {
      record();
      return;
    }
    writeRefusal(response, reported, request.requestId);
  }

  function onDeadline(): void {
    if (pendingWrite) {
      pendingWrite();
      return;
    }
    if (delivery.streamingAttempt()) {
      abortResponse({kind: 'timed-out'});
      return;
    }
    refuse({reason: 'deadline-expired', outcome: outcome()}, true);
  }

  /** Destroys the connection, so that the response cannot look complete. */
  function abortResponse(result: AttemptResult): void {
    settle({result: 'unknown', status: response.statusCode});
    void claim?.end({kind: 'unknown'});
    cancelAttempts(() => result);
    response.destroy();
  }

  function onClose(): void {
    if (settlement) {
      record();
      return;
    }
    callerGone = true;
    if (claim && (possibleRuns > 0 || claim.isHeld())) {
      // Continues, so that a repeated request gets the recorded response.
      return;
    }
    settle({result: 'caller-gone', status: 0});
    cancelAttempts(sent => ({kind: 'cancelled', sent}));
    record();
  }

  function record(): void {
    if (recorded || !settlement) {
      return;
    }
    recorded = true;
    dependencies.finished(
      buildRequestRecord({
        metadata,
        settlement,
        delivered: !callerGone && response.writableFinished,
        startedAtWallMs,
        durationMs: timers.nowMs() - startedAtMs,
        attempts,
        destination,
        explanation,
      }),
    );
  }

  function send(action: SendAttemptAction): void {
    const entry = running.add(action);
    if (settlement) {
      running.stop(entry, {kind: 'cancelled', sent: false});
      return;
    }
    if (!metadata.idempotent && possibleRuns > 0) {
      running.finish(entry, {
        kind: 'not-sent',
        cause: 'an earlier attempt may have run',
      });
      refuse({reason: 'outcome-unknown', outcome: 'unknown'});
      return;
    }
    attempts += 1;
    destination = action.destination;
    if (!claim) {
      start(entry);
      return;
    }
    void claimThenStart(entry, claim);
  }

  async function claimThenStart(
    entry: RunningAttempt,
    claimGuard: ClaimGuard,
  ): Promise<void> {
    if (entry.action.destination.kind === 'relay') {
      // The VM that sends to the target makes the claim.
      await claimGuard.end({kind: 'not-run'});
      start(entry);
      return;
    }
    const decision = await claimGuard.begin();
    if (decision.kind === 'run') {
      start(entry);
      return;
    }
    if (!settlement) {
      respondFromClaim(decision);
    }
  }

  function respondFromClaim(
    decision: Exclude<ClaimDecision, {kind: 'run'}>,
  ): void {
    const refusal = buildClaimRefusal(decision);
    if (refusal) {
      refuse(refusal);
      return;
    }
    if (decision.kind !== 'replay') {
      return;
    }
    const {answer} = decision;
    settle({result: 'answered', status: answer.status});
    cancelAttempts(sent => ({kind: 'cancelled', sent}));
    if (callerGone) {
      record();
      return;
    }
    writeRecordedAnswer(response, answer, request.requestId);
  }

  function start(entry: RunningAttempt): void {
    if (settlement) {
      running.stop(entry, {kind: 'cancelled', sent: false});
      return;
    }
    running.start(entry);
  }

  function onResponseStarted(
    entry: RunningAttempt,
    head: IncomingMessage,
  ): void {
    entry.head = head;
    const contentLength = contentLengthOf(head);
    step({
      kind: 'attempt-answering',
      request: metadata.id,
      attempt: entry.action.attempt,
      status: head.statusCode ?? 0,
      contentLength,
    });
    const {maximumHeldResponseBytes} = policy;
    const tooLong = (contentLength ?? 0) > maximumHeldResponseBytes;
    if (tooLong && !isBodylessResponse(head, request.method)) {
      startStreaming(entry, head);
    }
  }

  function onData(entry: RunningAttempt, chunk: Buffer): void {
    if (entry.discarded) {
      return;
    }
    if (delivery.streamingAttempt() === entry) {
      delivery.write(chunk);
      return;
    }
    entry.bufferedChunks.push(chunk);
    entry.bufferedBytes += chunk.length;
    if (entry.bufferedBytes > policy.maximumHeldResponseBytes && entry.head) {
      startStreaming(entry, entry.head);
    }
  }

  /** The first attempt whose response exceeds the buffer limit wins. */
  function startStreaming(entry: RunningAttempt, head: IncomingMessage): void {
    if (callerGone && !settlement) {
      entry.discarded = true;
      entry.bufferedChunks = [];
      return;
    }
    if (settlement || delivery.streamingAttempt() || pendingWrite) {
      running.stop(entry, {kind: 'cancelled', sent: true});
      return;
    }
    running.stopOthers(entry);
    delivery.beginStream(entry, head);
  }

  function onFinished(entry: RunningAttempt, result: AttemptResult): void {
    if (result.kind === 'shed') {
      possibleRuns -= 1;
    }
    const event = {
      kind: 'attempt-finished',
      request: metadata.id,
      attempt: entry.action.attempt,
      result,
    } as const;
    if (delivery.streamingAttempt() === entry && result.kind !== 'answered') {
      // Settles first, because steering may refuse the request or retry it.
      if (!settlement) {
        abortResponse(result);
      }
      step(event);
      return;
    }
    const isWinner = result.kind === 'answered' && !settlement && !pendingWrite;
    if (!isWinner) {
      step(event);
      return;
    }
    deliver(entry);
    step(event);
    running.stopOthers(entry);
  }

  function deliver(entry: RunningAttempt): void {
    const head = entry.head!;
    if (delivery.streamingAttempt() === entry) {
      settle({result: 'answered', status: head.statusCode ?? 0});
      const answer = delivery.endStream(head);
      void claim?.end({kind: 'answered', answer});
      return;
    }
    const buffered = delivery.buildBufferedResponse(entry, head);
    pendingWrite = () => {
      if (settlement) {
        return;
      }
      settle({result: 'answered', status: buffered.status});
      if (callerGone) {
        record();
        return;
      }
      buffered.write();
    };
    if (!claim?.isHeld()) {
      pendingWrite();
      return;
    }
    const answer = buffered.toRecord(settings.claims.maximumRecordedBytes);
    void claim.end({kind: 'answered', answer}).then(pendingWrite);
  }

  return {
    send,
    cancel: running.cancel,
    refuse,
    explain: lines => explanation.push(...lines),
    abort: () => {
      if (!settlement) {
        abortResponse({kind: 'cancelled', sent: possibleRuns > 0});
      }
    },
  };
}
