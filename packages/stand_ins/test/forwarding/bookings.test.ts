/**
 * Non-idempotent requests are claimed before they are sent and run at most
 * once.
 */
import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {createManualTimerService} from '@ibisbeam/library';
import {BOOKING_PATH, createRunningBed, waitUntil} from './harness.js';
import {sendRequest} from './send_request.js';

describe('a booking', () => {
  let bed: Awaited<ReturnType<typeof createRunningBed>>;
  afterEach(() => bed.close());

  function book(key: string, extra: RequestInit = {}, deadlineMs?: number) {
    const headers: Record<string, string> = {'idempotency-key': key};
    if (deadlineMs !== undefined) {
      headers['ibisbeam-deadline-ms'] = String(deadlineMs);
    }
    return sendRequest(`${bed.url}${BOOKING_PATH}/book`, {
      method: 'POST',
      headers: bed.headers(headers),
      body: 'room 4',
      ...extra,
    });
  }

  function countRuns(key: string): number {
    return bed.targets.reduce(
      (sum, target) => sum + (target.runsByKey().get(key) ?? 0),
      0,
    );
  }

  it('sent twice runs once and gets the same answer twice', async () => {
    bed = await createRunningBed();
    const first = await book('k-1');
    const second = await book('k-1');
    assert.equal(first.status, 201);
    assert.equal(second.text, first.text);
    assert.equal(second.headers.get('ibisbeam-replayed'), 'true');
    assert.equal(countRuns('k-1'), 1);
  });

  it('whose key was used for another body is refused as not run', async () => {
    bed = await createRunningBed();
    await book('k-1');
    const reused = await book('k-1', {body: 'room 5'});
    assert.equal(reused.status, 422);
    assert.equal(reused.outcome, 'not-run');
  });

  it('whose target dies is never sent again, and its resend is told so', async () => {
    bed = await createRunningBed();
    bed.targets[0]!.faults.closeBeforeAnswer = 1;
    const first = await book('k-1');
    assert.deepEqual([first.status, first.outcome], [502, 'unknown']);
    const second = await book('k-1');
    assert.deepEqual([second.status, second.reason], [409, 'outcome-unknown']);
    assert.equal(countRuns('k-1'), 1);
  });

  it('still runs to its end when its caller goes away, for the resend', async () => {
    bed = await createRunningBed();
    const [target] = bed.targets;
    target!.faults.hold = true;
    const abortController = new AbortController();
    const abandoned = book('k-1', {signal: abortController.signal});
    await waitUntil(() => target!.inFlight() === 1);
    abortController.abort();
    await assert.rejects(abandoned);
    target!.release();
    await waitUntil(() => bed.claims.endOf('k-1') !== undefined);
    const repeated = await book('k-1');
    assert.equal(repeated.status, 201);
    assert.equal(countRuns('k-1'), 1);
  });

  it('is recorded before the first byte of its answer goes on', async () => {
    bed = await createRunningBed();
    bed.claims.holdEnds = true;
    let answered = false;
    const pending = book('k-1').then(answer => {
      answered = true;
      return answer;
    });
    await waitUntil(() => bed.targets[0]!.runs() === 1);
    await waitUntil(() => bed.targets[0]!.inFlight() === 0);
    assert.equal(answered, false);
    bed.claims.holdEnds = false;
    bed.claims.recordHeldEnds();
    assert.equal((await pending).status, 201);
  });

  it('gets its answer by the deadline even if the record takes longer', async () => {
    const timers = createManualTimerService();
    bed = await createRunningBed({timers});
    bed.claims.holdEnds = true;
    const pending = book('k-1', {}, 200);
    await waitUntil(() =>
      bed.vm.steering.events.some(
        event =>
          event.kind === 'attempt-finished' && event.result.kind === 'answered',
      ),
    );
    await timers.advance(200);
    assert.equal((await pending).status, 201);
  });

  it('that cannot be claimed is refused and never sent', async () => {
    bed = await createRunningBed();
    bed.claims.decision = {
      kind: 'unavailable',
      retryAfterMs: 2_000,
      outcome: 'not-run',
    };
    const answer = await book('k-1');
    assert.deepEqual(
      [answer.status, answer.reason, answer.outcome],
      [503, 'claim-unavailable', 'not-run'],
    );
    assert.equal(answer.headers.get('retry-after'), '2');
    assert.equal(countRuns('k-1'), 0);
  });

  it('whose recorded answer was too long is told that it ran', async () => {
    bed = await createRunningBed({
      settings: {claims: {maximumRecordedBytes: 4}},
    });
    await book('k-1');
    const repeated = await book('k-1');
    assert.equal(repeated.reason, 'answer-not-kept');
    assert.equal(repeated.outcome, 'unknown');
  });
});
