/** One request from its admission, over its attempts, to its one answer. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {
  AttemptDestination,
  AttemptResult,
  ClaimDecision,
} from '@ibisbeam/decision';
import {
  type Refusal,
  refusalStatus,
  writeRefusal,
} from '../../core/http/index.js';
import {createAnswerDelivery} from './answer_delivery.js';
import {writeRecordedAnswer} from './answer_writer.js';
import {isWithoutBody, statedLength} from './attempt.js';
import {createAttemptSet} from './attempt_set.js';
import {type ClaimGuard, createClaimGuard} from './claim_guard.js';
import {claimRefusal} from './claim_refusal.js';
import type {Exchange, ExchangeDependencies} from './exchange_types.js';
import type {Intake} from './intake.js';
import {type Settlement, buildRecord} from './request_record.js';
import type {RunningAttempt, SendAction} from './running_attempt.js';

export function createExchange(
  intake: Intake,
  response: ServerResponse,
  dependencies: ExchangeDependencies,
): Exchange {
  const {context, sender, step} = dependencies;
  const {timers, settings} = context;
  const {facts, policy} = intake;
  const startedAtMs = timers.nowMs();
  const startedAtWallMs = timers.wallMs();
  const running = createAttemptSet({
    intake,
    sender,
    timers,
    step,
    sent: () => {
      mayHaveRun += 1;
    },
    answering: onAnswering,
    data: onData,
    finished: onFinished,
  });
  const claim: ClaimGuard | undefined = facts.idempotent
    ? undefined
    : createClaimGuard(context, intake);
  const delivery = createAnswerDelivery(intake, response, timers);
  const explanation: string[] = [];
  let attempts = 0;
  let destination: AttemptDestination | undefined;
  /** Attempts that were sent and not refused by their target as not run. */
  let mayHaveRun = 0;
  let settlement: Settlement | undefined;
  /** Writes an answer that waits for its record. */
  let writePending: (() => void) | undefined;
  let callerGone = false;
  let recorded = false;

  const deadline = timers.at(facts.deadlineMs, onDeadline);
  response.once('close', onClose);

  function outcome(): Refusal['outcome'] {
    return mayHaveRun > 0 ? 'unknown' : 'not-run';
  }

  function settle(next: Settlement): void {
    settlement = next;
    deadline.cancel();
    claim?.giveUp();
  }

  /** Tells steering, then ends what it left running. */
  function release(result: (sent: boolean) => AttemptResult): void {
    step({kind: 'request-cancelled', request: facts.id});
    running.stopAll(result);
  }

  function refuse(refusal: Refusal, timedOut = false): void {
    if (settlement) {
      return;
    }
    if (delivery.streaming()) {
      breakOff({kind: 'cancelled', sent: true});
      return;
    }
    const truthful: Refusal = {
      ...refusal,
      outcome: mayHaveRun > 0 ? 'unknown' : refusal.outcome,
    };
    settle({
      result: truthful.outcome === 'unknown' ? 'unknown' : 'refused',
      status: refusalStatus(truthful),
      refusal: truthful.reason,
    });
    void claim?.end({kind: outcome()});
    release(sent =>
      timedOut ? {kind: 'timed-out'} : {kind: 'cancelled', sent},
    );
    if (callerGone) {
      record();
      return;
    }
    writeRefusal(response, truthful, intake.requestId);
  }

  function onDeadline(): void {
    if (writePending) {
      writePending();
      return;
    }
    if (delivery.streaming()) {
      breakOff({kind: 'timed-out'});
      return;
    }
    refuse({reason: 'deadline-expired', outcome: outcome()}, true);
  }

  /** Ends an answer whose first bytes are out so that it cannot look whole. */
  function breakOff(result: AttemptResult): void {
    settle({result: 'unknown', status: response.statusCode});
    void claim?.end({kind: 'unknown'});
    release(() => result);
    response.destroy();
  }

  function onClose(): void {
    if (settlement) {
      record();
      return;
    }
    callerGone = true;
    if (claim && (mayHaveRun > 0 || claim.held())) {
      // Runs to its end, so that a resend gets the recorded answer.
      return;
    }
    settle({result: 'caller-gone', status: 0});
    release(sent => ({kind: 'cancelled', sent}));
    record();
  }

  function record(): void {
    if (recorded || !settlement) {
      return;
    }
    recorded = true;
    dependencies.finished(
      buildRecord({
        facts,
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

  function send(action: SendAction): void {
    const entry = running.add(action);
    if (settlement) {
      running.stop(entry, {kind: 'cancelled', sent: false});
      return;
    }
    if (!facts.idempotent && mayHaveRun > 0) {
      running.finish(entry, {
        kind: 'not-sent',
        cause: 'it may have run already',
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
    guard: ClaimGuard,
  ): Promise<void> {
    if (entry.action.destination.kind === 'relay') {
      // The VM that sends to the target makes the claim.
      await guard.end({kind: 'not-run'});
      start(entry);
      return;
    }
    const decision = await guard.begin();
    if (decision.kind === 'run') {
      start(entry);
      return;
    }
    if (!settlement) {
      answerByClaim(decision);
    }
  }

  function answerByClaim(
    decision: Exclude<ClaimDecision, {kind: 'run'}>,
  ): void {
    const refusal = claimRefusal(decision);
    if (refusal) {
      refuse(refusal);
      return;
    }
    if (decision.kind !== 'replay') {
      return;
    }
    const {answer} = decision;
    settle({result: 'answered', status: answer.status});
    release(sent => ({kind: 'cancelled', sent}));
    if (callerGone) {
      record();
      return;
    }
    writeRecordedAnswer(response, answer, intake.requestId);
  }

  function start(entry: RunningAttempt): void {
    if (settlement) {
      running.stop(entry, {kind: 'cancelled', sent: false});
      return;
    }
    running.start(entry);
  }

  function onAnswering(entry: RunningAttempt, head: IncomingMessage): void {
    entry.head = head;
    const contentLength = statedLength(head);
    step({
      kind: 'attempt-answering',
      request: facts.id,
      attempt: entry.action.attempt,
      status: head.statusCode ?? 0,
      contentLength,
    });
    const {maximumHeldResponseBytes} = policy;
    const tooLong = (contentLength ?? 0) > maximumHeldResponseBytes;
    if (tooLong && !isWithoutBody(head, intake.method)) {
      stream(entry, head);
    }
  }

  function onData(entry: RunningAttempt, chunk: Buffer): void {
    if (entry.discarded) {
      return;
    }
    if (delivery.streaming() === entry) {
      delivery.pass(chunk);
      return;
    }
    entry.held.push(chunk);
    entry.heldBytes += chunk.length;
    if (entry.heldBytes > policy.maximumHeldResponseBytes && entry.head) {
      stream(entry, entry.head);
    }
  }

  /** The first attempt whose answer must go on unheld wins. */
  function stream(entry: RunningAttempt, head: IncomingMessage): void {
    if (callerGone && !settlement) {
      entry.discarded = true;
      entry.held = [];
      return;
    }
    if (settlement || delivery.streaming() || writePending) {
      running.stop(entry, {kind: 'cancelled', sent: true});
      return;
    }
    running.stopOthers(entry);
    delivery.beginStream(entry, head);
  }

  function onFinished(entry: RunningAttempt, result: AttemptResult): void {
    if (result.kind === 'shed') {
      mayHaveRun -= 1;
    }
    const event = {
      kind: 'attempt-finished',
      request: facts.id,
      attempt: entry.action.attempt,
      result,
    } as const;
    if (delivery.streaming() === entry && result.kind !== 'answered') {
      // Settles before steering hears of it and refuses or tries again.
      if (!settlement) {
        breakOff(result);
      }
      step(event);
      return;
    }
    const wins = result.kind === 'answered' && !settlement && !writePending;
    if (!wins) {
      step(event);
      return;
    }
    deliver(entry);
    step(event);
    running.stopOthers(entry);
  }

  function deliver(entry: RunningAttempt): void {
    const head = entry.head!;
    if (delivery.streaming() === entry) {
      settle({result: 'answered', status: head.statusCode ?? 0});
      const answer = delivery.endStream(head);
      void claim?.end({kind: 'answered', answer});
      return;
    }
    const held = delivery.hold(entry, head);
    writePending = () => {
      if (settlement) {
        return;
      }
      settle({result: 'answered', status: held.status});
      if (callerGone) {
        record();
        return;
      }
      held.write();
    };
    if (!claim?.held()) {
      writePending();
      return;
    }
    const answer = held.toRecord(settings.claims.maximumRecordedBytes);
    void claim.end({kind: 'answered', answer}).then(writePending);
  }

  return {
    send,
    cancel: running.cancel,
    refuse,
    explain: lines => explanation.push(...lines),
    cut: () => {
      if (!settlement) {
        breakOff({kind: 'cancelled', sent: mayHaveRun > 0});
      }
    },
  };
}
