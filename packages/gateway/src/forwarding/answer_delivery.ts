/**
 * The delivery of one answer: whether a long one is held until it is whole, and
 * how it reaches the client in its turn.
 */
import {type LongAnswerDelivery, decideLongAnswer} from '@ibisbeam/decision';
import type {ForwardingContext} from './context.js';
import type {ExchangeRequest} from './exchange_types.js';
import {LONG_ANSWER_BYTES} from './held_memory.js';
import {deliverResponse} from './response_delivery.js';
import {
  type AnswerProgress,
  type TargetResponse,
  keepUntilTurn,
  streamOf,
} from './target_attempt.js';

export interface AnswerDelivery {
  /** Asked while a long answer comes. */
  decide(progress: AnswerProgress): LongAnswerDelivery;
  /** Delivers the answer in its turn. Call it once. */
  deliver(response: TargetResponse): void;
}

export interface AnswerDeliveryOptions {
  /** Time at which the VM answers in the target's place. */
  readonly respondByMs: number;
  /** The answer can be delivered; it has not been written yet. */
  onDecided(status: number): void;
  /** A long answer has ended before its end. */
  onBrokenOff(): void;
}

export function createAnswerDelivery(
  context: ForwardingContext,
  request: ExchangeRequest,
  {respondByMs, onDecided, onBrokenOff}: AnswerDeliveryOptions,
): AnswerDelivery {
  const {timers, heldMemory} = context;
  const {outgoing, answer, memory} = request;

  function decide(progress: AnswerProgress): LongAnswerDelivery {
    return decideLongAnswer(
      {
        ...progress,
        isInTurn: answer.isInTurn(),
        requestsBehind: answer.requestsBehind(),
        timeLeftMs: respondByMs - timers.nowMs(),
      },
      heldMemory.holdLimits(),
    );
  }

  function deliver(response: TargetResponse): void {
    let kept: TargetResponse | undefined = answer.isInTurn()
      ? response
      : keepUntilTurn(response, memory);
    onDecided(response.status);
    const stream = streamOf(response);
    answer.onEnd(() => stream?.destroy());
    answer.write(
      () => {
        const delivered = kept;
        // An ended request may be referred to until its connection closes.
        kept = undefined;
        if (delivered) {
          deliverResponse(outgoing, delivered, {
            droppedHeaders: context.droppedAnswerHeaders,
            timers,
            limitAtMs: respondByMs,
            onBufferedSent: bytes => memory.give(bytes),
            onBrokenOff,
          });
        }
      },
      {delivery: isLong(response) ? 'streamed' : 'whole'},
    );
  }

  return {decide, deliver};
}

/** Whether its client may send more before the last byte has left. */
function isLong({body}: TargetResponse): boolean {
  return body.kind === 'streaming' || body.byteCount > LONG_ANSWER_BYTES;
}
