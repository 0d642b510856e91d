import type {Trace, Violation} from '../trace.js';

const AMPLIFICATION_LIMIT = 1.1;
/** Below this number of requests the ratio is not meaningful. */
const MINIMUM_REQUESTS = 100;

/** Attempts sent to targets per request sent by callers; 0 without requests. */
export function amplificationRatio(trace: Trace): number {
  let requests = 0;
  let attempts = 0;
  for (const event of trace.events) {
    if (event.kind === 'request-sent') {
      requests += 1;
    }
    if (event.kind === 'attempt-sent') {
      attempts += 1;
    }
  }
  return requests === 0 ? 0 : attempts / requests;
}

/** Retries and hedges together add at most 10 % to the requests of callers. */
export function checkAmplification(trace: Trace): readonly Violation[] {
  const requests = trace.events.filter(event => event.kind === 'request-sent');
  const ratio = amplificationRatio(trace);
  if (requests.length < MINIMUM_REQUESTS || ratio <= AMPLIFICATION_LIMIT) {
    return [];
  }
  return [
    {
      check: 'amplification',
      atMs: trace.events.at(-1)!.atMs,
      subject: 'fleet',
      detail: `${ratio.toFixed(3)} attempts per request; the limit is ${AMPLIFICATION_LIMIT}`,
    },
  ];
}
