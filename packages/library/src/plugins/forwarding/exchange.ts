/**
 * One request from its admission to its answer: carries out the attempts that
 * steering asks for and gives the caller exactly one answer.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {
  AttemptDestination,
  AttemptResult,
  ClaimDecision,
  RequestRecord,
  SteeringEvent,
} from '@ibisbeam/decision';
import {
  type Refusal,
  refusalStatus,
  writeRefusal,
} from '../../core/http/index.js';
import type {TaskContext} from '../../core/kernel/index.js';
import {
  answerHeaders,
  recordedAnswer,
  writeHeldAnswer,
  writeRecordedAnswer,
} from './answer_writer.js';
import {isWithoutBody} from './attempt.js';
import {type ClaimGuard, createClaimGuard} from './claim_guard.js';
import {claimRefusal} from './claim_refusal.js';
import type {Intake} from './intake.js';
import {type Settlement, buildRecord} from './request_record.js';
import {
  type RunningAttempt,
  type SendAction,
  createRunningAttempt,
  wasSent,
} from './running_attempt.js';
import type {AttemptSender} from './sender.js';
import {type PacedWriter, createPacedWriter} from './paced_writer.js';

export interface ExchangeDependencies {
  readonly context: TaskContext;
  readonly sender: AttemptSender;
  step(event: SteeringEvent): void;
  finished(record: RequestRecord): void;
}

export interface Exchange {
  send(action: SendAction): void;
  cancel(attempt: number): void;
  refuse(refusal: Refusal): void;
  explain(lines: readonly string[]): void;
  /** Gives up on the request and breaks the caller's connection. */
  cut(): void;
}

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
  const running = new Map<number, RunningAttempt>();
  const claim: ClaimGuard | undefined = facts.idempotent
    ? undefined
    : createClaimGuard(context, intake);
  const explanation: string[] = [];
  let attempts = 0;
  let destination: AttemptDestination | undefined;
  /** Attempts that were sent and not refused by their target as not run. */
  let mayHaveRun = 0;
  let settlement: Settlement | undefined;
  let streaming: RunningAttempt | undefined;
  let writer: PacedWriter | undefined;
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
    for (const entry of [...running.values()]) {
      stopAttempt(entry, result(wasSent(entry)));
    }
  }

  function stopAttempt(entry: RunningAttempt, result: AttemptResult): void {
    if (entry.cancelled) {
      return;
    }
    entry.cancelled = true;
    if (entry.attempt) {
      entry.attempt.abandon(result);
      return;
    }
    onFinished(entry, {kind: 'cancelled', sent: false});
  }

  function refuse(refusal: Refusal, timedOut = false): void {
    if (settlement) {
      return;
    }
    if (streaming) {
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
    if (streaming) {
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
    const entry = createRunningAttempt(action);
    running.set(action.attempt, entry);
    if (settlement) {
      stopAttempt(entry, {kind: 'cancelled', sent: false});
      return;
    }
    if (!facts.idempotent && mayHaveRun > 0) {
      onFinished(entry, {kind: 'not-sent', cause: 'it may have run already'});
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
    if (entry.cancelled || settlement) {
      stopAttempt(entry, {kind: 'cancelled', sent: false});
      return;
    }
    const {action} = entry;
    if (action.deadlineMs < facts.deadlineMs) {
      entry.timeout = timers.at(action.deadlineMs, () =>
        stopAttempt(entry, {kind: 'timed-out'}),
      );
    }
    sender.send(intake, action, {
      started: attempt => {
        entry.attempt = attempt;
        if (entry.cancelled) {
          attempt.abandon({kind: 'cancelled', sent: false});
        }
      },
      sent: () => {
        mayHaveRun += 1;
        step({
          kind: 'attempt-sent',
          request: facts.id,
          attempt: action.attempt,
        });
      },
      answering: head => onAnswering(entry, head),
      data: chunk => onData(entry, chunk),
      finished: result => onFinished(entry, result),
    });
  }

  function onAnswering(entry: RunningAttempt, head: IncomingMessage): void {
    entry.head = head;
    const length = head.headers['content-length'];
    const contentLength = length === undefined ? undefined : Number(length);
    step({
      kind: 'attempt-answering',
      request: facts.id,
      attempt: entry.action.attempt,
      status: head.statusCode ?? 0,
      contentLength,
    });
    const withoutBody = isWithoutBody(head, intake.method);
    if (
      !withoutBody &&
      (contentLength ?? 0) > policy.maximumHeldResponseBytes
    ) {
      stream(entry, head);
    }
  }

  function onData(entry: RunningAttempt, chunk: Buffer): void {
    if (entry.discarded) {
      return;
    }
    if (streaming === entry) {
      writer?.write(chunk);
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
    if (settlement || streaming || writePending) {
      stopAttempt(entry, {kind: 'cancelled', sent: true});
      return;
    }
    streaming = entry;
    stopOthers(entry);
    response.writeHead(
      head.statusCode ?? 502,
      answerHeaders(head, intake.requestId),
    );
    writer = createPacedWriter({
      response,
      timers,
      bytesPerSecond: entry.action.paceBytesPerSecond,
      pause: () => entry.attempt?.pause(),
      resume: () => entry.attempt?.resume(),
    });
    for (const chunk of entry.held.splice(0)) {
      writer.write(chunk);
    }
  }

  function onFinished(entry: RunningAttempt, result: AttemptResult): void {
    const {attempt} = entry.action;
    if (running.get(attempt) !== entry) {
      return;
    }
    running.delete(attempt);
    entry.timeout?.cancel();
    if (result.kind === 'shed') {
      mayHaveRun -= 1;
    }
    const event = {
      kind: 'attempt-finished',
      request: facts.id,
      attempt,
      result,
    } as const;
    if (streaming === entry && result.kind !== 'answered') {
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
    stopOthers(entry);
  }

  function stopOthers(winner: RunningAttempt): void {
    for (const entry of [...running.values()]) {
      if (entry !== winner) {
        stopAttempt(entry, {kind: 'cancelled', sent: wasSent(entry)});
      }
    }
  }

  function deliver(entry: RunningAttempt): void {
    const head = entry.head!;
    const status = head.statusCode ?? 0;
    if (streaming === entry) {
      settle({result: 'answered', status});
      const headers = answerHeaders(head, intake.requestId);
      void claim?.end({
        kind: 'answered',
        answer: recordedAnswer(head, headers, undefined),
      });
      writer?.end();
      return;
    }
    const body = Buffer.concat(entry.held);
    const headers = answerHeaders(head, intake.requestId);
    const withoutBody = isWithoutBody(head, intake.method);
    writePending = () => {
      if (settlement) {
        return;
      }
      settle({result: 'answered', status});
      if (callerGone) {
        record();
        return;
      }
      writeHeldAnswer(response, head, headers, body, withoutBody);
    };
    if (!claim?.held()) {
      writePending();
      return;
    }
    const fits =
      !entry.discarded && body.length <= settings.claims.maximumRecordedBytes;
    const answer = recordedAnswer(head, headers, fits ? body : undefined);
    void claim.end({kind: 'answered', answer}).then(writePending);
  }

  return {
    send,
    cancel: attempt => {
      const entry = running.get(attempt);
      if (entry) {
        stopAttempt(entry, {kind: 'cancelled', sent: wasSent(entry)});
      }
    },
    refuse,
    explain: lines => explanation.push(...lines),
    cut: () => {
      if (!settlement) {
        breakOff({kind: 'cancelled', sent: mayHaveRun > 0});
      }
    },
  };
}
