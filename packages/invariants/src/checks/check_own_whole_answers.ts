import type {Trace, Violation} from '../trace.js';

/** A response that a caller accepts is complete and belongs to its request. */
export function checkOwnWholeAnswers(trace: Trace): readonly Violation[] {
  const violations: Violation[] = [];
  for (const event of trace.events) {
    if (event.kind !== 'request-ended' || event.end.kind !== 'answered') {
      continue;
    }
    const {request, atMs} = event;
    if (event.end.answerTo !== request) {
      violations.push({
        check: 'own-whole-answer',
        atMs,
        subject: request,
        detail: `received the response to request ${event.end.answerTo}`,
      });
    }
    if (!event.end.whole) {
      violations.push({
        check: 'own-whole-answer',
        atMs,
        subject: request,
        detail: 'accepted a truncated response as complete',
      });
    }
  }
  return violations;
}
