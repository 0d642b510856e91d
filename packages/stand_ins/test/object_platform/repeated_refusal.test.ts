import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {
  type Answer,
  type Harness,
  call,
  startHarness,
  timers,
  waitUntil,
} from './harness.js';
import {
  type ScriptedRequest,
  type ScriptedTarget,
  answerText,
  refusalText,
  startScriptedTarget,
} from './scripted_target.js';

/** When the target writes its first refusal once more. */
type Repetition =
  /** Together with the refusal. */
  | 'at-once'
  /** While the connection is idle. */
  | 'while-idle'
  /** When it has got the next request, before it runs it. */
  | 'before-the-run'
  /** While it runs the next request. */
  | 'during-the-run'
  /** Together with the answer to the next request. */
  | 'with-the-answer';

const REPETITIONS: readonly Repetition[] = [
  'at-once',
  'while-idle',
  'before-the-run',
  'during-the-run',
  'with-the-answer',
];
/** Those in which the next request has been sent by then. */
const MET_BY_REQUESTS: ReadonlySet<Repetition> = new Set([
  'before-the-run',
  'during-the-run',
  'with-the-answer',
]);
/** Statuses that promise that the request has not run and never will. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];
const RUN_MS = 60;
const DELAY_MS = 20;
const PAUSE_MS = 250;
const BOOKINGS = 6;

// Guards against callers that are told that a request has not run, since its target
// wrote an earlier refusal once more, while the request runs or is sent again.
describe('a refusal that a target writes twice', () => {
  let harness: Harness;
  let targets: ScriptedTarget[];
  let runsByAttempt: Map<string, number>;
  /** Requests that got the repeated refusal of another one. */
  let misled: number;

  beforeEach(async () => {
    targets = [];
    runsByAttempt = new Map();
    misled = 0;
    harness = await startHarness({}, 0);
  });
  afterEach(async () => {
    for (const target of targets) {
      await target.close();
    }
    await harness.stop();
  });

  async function startTarget(
    id: string,
    onRequest: (request: ScriptedRequest) => void,
  ): Promise<void> {
    targets.push(await startScriptedTarget(harness.fleet, id, onRequest));
  }

  function recordRun(attemptId: string): void {
    runsByAttempt.set(attemptId, (runsByAttempt.get(attemptId) ?? 0) + 1);
  }

  /** Refuses the first request of each connection, and runs the others. */
  function startFaultyTarget(
    id: string,
    repetition: Repetition,
  ): Promise<void> {
    const refusals = new WeakMap<object, string>();

    return startTarget(id, ({attemptId, index, socket}) => {
      const repeated = refusals.get(socket) ?? '';
      if (index === 0) {
        const refusal = refusalText(attemptId);
        refusals.set(socket, refusal);
        socket.write(repetition === 'at-once' ? refusal + refusal : refusal);
        if (repetition === 'while-idle') {
          timers.after(DELAY_MS, () => socket.write(refusal));
        }
        return;
      }
      recordRun(attemptId);
      misled += MET_BY_REQUESTS.has(repetition) ? 1 : 0;
      if (repetition === 'before-the-run') {
        socket.write(repeated);
      }
      if (repetition === 'during-the-run') {
        timers.after(DELAY_MS, () => socket.write(repeated));
      }
      timers.after(RUN_MS, () => {
        const answer = answerText(attemptId);
        const isLate = repetition === 'with-the-answer';
        socket.write(isLate ? repeated + answer : answer);
      });
    });
  }

  function book(attemptId: string): Promise<Answer> {
    return call(harness.gateway, {
      method: 'POST',
      path: '/book/1',
      body: 'room=1',
      attemptId,
    });
  }

  function assertTruthful(attemptId: string, {status}: Answer): void {
    const runs = runsByAttempt.get(attemptId) ?? 0;
    assert.ok(runs <= 1, `${attemptId} ran ${runs} times`);
    assert.ok(
      runs === 0 || !NOT_RUN_STATUSES.includes(status),
      `${attemptId} ran and got ${status}`,
    );
  }

  for (const repetition of REPETITIONS) {
    it(`makes no booking look as if it had not run: ${repetition}`, async () => {
      await startFaultyTarget('i-faulty', repetition);
      await startFaultyTarget('i-other', repetition);
      await waitUntil(
        () =>
          harness.logLines.filter(line => /event=target-added/.test(line))
            .length === targets.length,
      );
      for (let round = 0; round < BOOKINGS; round += 1) {
        const ids = [`${round}-a`, `${round}-b`, `${round}-c`];
        const answers = await Promise.all(ids.map(book));
        for (const [index, answer] of answers.entries()) {
          assertTruthful(ids[index] ?? '', answer);
        }
        // A target that has refused counts as full for a moment.
        await timers.sleep(PAUSE_MS);
      }
      // Runs that began after the answer count as well.
      await timers.sleep(RUN_MS);
      assert.equal(misled > 0, MET_BY_REQUESTS.has(repetition));
      for (const [attemptId, runs] of runsByAttempt) {
        assert.equal(runs, 1, `${attemptId} ran ${runs} times`);
      }
    });
  }

  // Guards against a request that is sent again, with the same identifier, on the
  // connection where its refusal may be written once more.
  it('never meets the same request again on its connection', async () => {
    const seen = new WeakMap<object, Set<string>>();
    let repeated = 0;
    await startTarget('i-full', ({attemptId, socket}) => {
      const attempts = seen.get(socket) ?? new Set<string>();
      seen.set(socket, attempts);
      repeated += attempts.has(attemptId) ? 1 : 0;
      attempts.add(attemptId);
      socket.write(refusalText(attemptId));
    });
    await waitUntil(() =>
      harness.logLines.some(line => /event=target-added/.test(line)),
    );
    for (let round = 0; round < BOOKINGS; round += 1) {
      const answer = await book(`again-${round}`);
      assert.equal(answer.status, 503);
    }
    assert.equal(repeated, 0);
  });
});
