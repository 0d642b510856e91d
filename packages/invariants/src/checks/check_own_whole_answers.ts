import type {Trace, Violation} from '../trace.js';

/** An answered caller holds the whole answer to its own request. */
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
        detail: `got the answer to ${event.end.answerTo}`,
      });
    }
    if (!event.end.whole) {
      violations.push({
        check: 'own-whole-answer',
        atMs,
        subject: request,
        detail: 'a part of the answer passed for the whole',
      });
    }
  }
  return violations;
}
