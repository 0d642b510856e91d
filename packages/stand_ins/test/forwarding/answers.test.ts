/**
 * An answer reaches the caller complete, belongs to its own request, or is
 * visibly broken.
 */
import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {createManualTimerService} from '@ibisbeam/library';
import {
  BOOKING_PATH,
  PACK_PATH,
  READ_PATH,
  createRunningBed,
  waitUntil,
} from './harness.js';

describe('forwarding', () => {
  let bed: Awaited<ReturnType<typeof createRunningBed>>;
  afterEach(() => bed.close());

  it('passes a read on and its answer back', async () => {
    bed = await createRunningBed();
    const answer = await fetch(`${bed.url}${READ_PATH}/rooms?night=2`, {
      headers: bed.headers({'ibisbeam-request-id': 'r-1'}),
    });
    assert.equal(answer.status, 200);
    assert.equal(answer.headers.get('ibisbeam-request-id'), 'r-1');
    assert.deepEqual(await answer.json(), {
      target: 'one',
      path: '/rooms?night=2',
    });
  });

  it('keeps the token and hop-by-hop headers from the target', async () => {
    bed = await createRunningBed();
    await fetch(`${bed.url}${READ_PATH}/rooms`, {
      headers: bed.headers({te: 'trailers', 'ibisbeam-deadline-ms': '1500'}),
    });
    const {headers} = bed.targets[0]!.received()[0]!;
    assert.equal(headers['authorization'], undefined);
    assert.equal(headers['te'], undefined);
    assert.equal(headers['ibisbeam-calling-team'], 'front-desk');
    const remaining = Number(headers['ibisbeam-deadline-ms']);
    assert.ok(remaining > 0 && remaining <= 1_500, `${remaining} ms`);
  });

  it('answers 502 unknown when the target dies in the middle of a held answer', async () => {
    bed = await createRunningBed();
    bed.targets[0]!.faults.closeMidBody = 1;
    const answer = await fetch(`${bed.url}${READ_PATH}/rooms`, {
      headers: bed.headers(),
    });
    const problem = (await answer.json()) as {outcome: string; type: string};
    assert.equal(answer.status, 502);
    assert.equal(problem.outcome, 'unknown');
    assert.match(problem.type, /target-failed$/);
  });

  it('breaks the connection when the target dies in the middle of a streamed answer', async () => {
    bed = await createRunningBed();
    bed.targets[0]!.faults.closeMidBody = 1;
    const answer = await fetch(`${bed.url}${PACK_PATH}/packs/2000000`, {
      headers: bed.headers(),
    });
    assert.equal(answer.status, 200);
    await assert.rejects(answer.arrayBuffer());
  });

  it('streams a long answer whole', async () => {
    bed = await createRunningBed();
    const answer = await fetch(`${bed.url}${PACK_PATH}/packs/3000000`, {
      headers: bed.headers(),
    });
    assert.equal((await answer.arrayBuffer()).byteLength, 3_000_000);
  });

  it('never gives a late answer to the next request on the connection', async () => {
    const timers = createManualTimerService();
    bed = await createRunningBed({timers});
    const [target] = bed.targets;
    target!.faults.hold = true;
    const pending = fetch(`${bed.url}${READ_PATH}/late`, {
      headers: bed.headers({'ibisbeam-deadline-ms': '50'}),
    });
    await waitUntil(() => target!.inFlight() === 1);
    await timers.advance(50);
    const late = await pending;
    assert.equal(late.status, 504);
    assert.equal(((await late.json()) as {outcome: string}).outcome, 'unknown');
    target!.release();
    const next = await fetch(`${bed.url}${READ_PATH}/next`, {
      headers: bed.headers(),
    });
    assert.equal(((await next.json()) as {path: string}).path, '/next');
    await waitUntil(() => target!.cancelled() === 1);
  });

  it('refuses an answer that carries another request identifier', async () => {
    bed = await createRunningBed();
    bed.targets[0]!.faults.echoedRequestId = 'somebody-elses';
    const answer = await fetch(`${bed.url}${READ_PATH}/rooms`, {
      headers: bed.headers(),
    });
    assert.equal(answer.status, 502);
    assert.doesNotMatch(await answer.text(), /"target":/);
  });

  for (const status of ['000', '001', '099', '100', '199', '600', '999']) {
    for (const [delivery, path] of [
      ['held', READ_PATH],
      ['streamed', PACK_PATH],
    ] as const) {
      // Guards against a process that ends, with all requests under way, since
      // the writer of answers throws for a status that the parser has taken.
      it(`takes the status ${status} for no answer (${delivery})`, async () => {
        const unhandled: unknown[] = [];
        const onUnhandled = (error: unknown): void =>
          void unhandled.push(error);
        process.on('uncaughtException', onUnhandled);
        try {
          bed = await createRunningBed();
          for (const {faults} of bed.targets) {
            faults.rawAnswer = `HTTP/1.1 ${status} OK\r\nIbisbeam-Request-Id: REQUEST\r\nContent-Length: 2\r\n\r\n{}`;
          }
          const answer = await fetch(`${bed.url}${path}/rooms`, {
            headers: bed.headers({'ibisbeam-deadline-ms': '1500'}),
          });
          assert.ok([502, 504].includes(answer.status), `${answer.status}`);
          assert.deepEqual(unhandled, []);
        } finally {
          process.off('uncaughtException', onUnhandled);
        }
      });
    }
  }

  it('takes an answer with a transfer coding for no answer', async () => {
    bed = await createRunningBed();
    for (const {faults} of bed.targets) {
      faults.rawAnswer =
        'HTTP/1.1 200 OK\r\nIbisbeam-Request-Id: REQUEST\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n';
    }
    const answer = await fetch(`${bed.url}${READ_PATH}/rooms`, {
      headers: bed.headers({'ibisbeam-deadline-ms': '1500'}),
    });
    assert.equal(answer.status, 502);
  });

  it('cancels a read at the target when its caller goes away', async () => {
    bed = await createRunningBed();
    const [target] = bed.targets;
    target!.faults.hold = true;
    const abortController = new AbortController();
    const pending = fetch(`${bed.url}${READ_PATH}/rooms`, {
      headers: bed.headers(),
      signal: abortController.signal,
    });
    await waitUntil(() => target!.inFlight() === 1);
    abortController.abort();
    await assert.rejects(pending);
    await waitUntil(() => target!.cancelled() === 1);
    await waitUntil(() => bed.vm.records.length === 1);
    assert.equal(bed.vm.records[0]!.result, 'caller-gone');
  });

  it('tries the next target after one that sheds', async () => {
    bed = await createRunningBed();
    bed.targets[0]!.faults.shed = true;
    const answer = await fetch(`${bed.url}${READ_PATH}/rooms`, {
      headers: bed.headers(),
    });
    assert.equal(((await answer.json()) as {target: string}).target, 'two');
    assert.equal(bed.targets[0]!.runs(), 0);
  });

  it('says not run, and when to come back, when every target sheds', async () => {
    bed = await createRunningBed();
    for (const target of bed.targets) {
      target.faults.shed = true;
    }
    const answer = await fetch(`${bed.url}${BOOKING_PATH}/book`, {
      method: 'POST',
      headers: bed.headers({'idempotency-key': 'k-1'}),
      body: 'room 4',
    });
    assert.equal(answer.status, 503);
    assert.equal(answer.headers.get('retry-after'), '1');
    assert.equal(
      ((await answer.json()) as {outcome: string}).outcome,
      'not-run',
    );
    assert.deepEqual(bed.claims.endOf('k-1'), {kind: 'not-run'});
  });

  it('tells steering that a target leaves when its answer says so', async () => {
    bed = await createRunningBed();
    bed.targets[0]!.faults.leaving = true;
    const read = () =>
      fetch(`${bed.url}${READ_PATH}/rooms`, {headers: bed.headers()});
    await (await read()).text();
    const second = (await (await read()).json()) as {target: string};
    assert.equal(second.target, 'two');
  });
});
