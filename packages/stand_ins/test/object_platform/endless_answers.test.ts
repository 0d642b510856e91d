import assert from 'node:assert/strict';
import {type ClientRequest, request as httpRequest} from 'node:http';
import {afterEach, beforeEach, describe, it} from 'node:test';
import type {
  EndlessAnswer,
  EndlessFault,
  LocalGateway,
} from '../../src/index.js';
import {
  type Answer,
  type Harness,
  HOST,
  call,
  countRuns,
  get,
  startHarness,
  timers,
  waitUntil,
} from './harness.js';

const ROUTE_TIMEOUT_MS = 1_000;
/** Time beyond the route's timeout in which a call has to end. */
const MARGIN_MS = 500;
/** Callers leave after this time. */
const GIVE_UP_MS = 2_000;
/** Requests that a target of the harness runs at once. */
const SLOTS = 4;
/** More than the listeners of which node:events warns. */
const DOWNLOADS = 15;
const MAXIMUM_KEYS = 50;
const OPEN_BODY_BYTES = 2_000_000;
/** Socket buffers of the kernel on the way, and one read of the gateway. */
const BUFFERED_ON_THE_WAY_BYTES = 16_000_000;
const SETTINGS = {
  answers: {head_bytes: 8_192, open_body_bytes: OPEN_BODY_BYTES},
};

interface Expectation {
  readonly fault: EndlessFault;
  /** Statuses of a booking; 0 stands for an answer that is not complete. */
  readonly statuses: readonly number[];
  /** Why the log says that the answer was ended; undefined without a line. */
  readonly why: string | undefined;
}

const BROKEN = [502];
const LATE = [504];
const CUT_OFF = [0];
const WHOLE = [200];

const EXPECTATIONS: readonly Expectation[] = [
  {fault: 'endless-head', statuses: BROKEN, why: 'head-too-long'},
  {fault: 'endless-interim', statuses: BROKEN, why: 'head-too-long'},
  {fault: 'endless-body', statuses: CUT_OFF, why: 'body-too-long'},
  {fault: 'endless-error', statuses: CUT_OFF, why: 'body-too-long'},
  {fault: 'endless-chunks', statuses: BROKEN, why: 'body-too-long'},
  {fault: 'endless-chunk-extension', statuses: BROKEN, why: 'body-too-long'},
  {fault: 'endless-trailer', statuses: BROKEN, why: 'body-too-long'},
  {fault: 'endless-not-http', statuses: BROKEN, why: undefined},
  {fault: 'bytes-after-end', statuses: WHOLE, why: 'bytes-after-end'},
  {fault: 'late-bytes-after-end', statuses: WHOLE, why: 'bytes-after-end'},
  {fault: 'trickled-head', statuses: LATE, why: 'no-end-in-time'},
  {fault: 'trickled-body', statuses: LATE, why: 'no-end-in-time'},
  {fault: 'trickled-stream', statuses: CUT_OFF, why: 'no-end-in-time'},
];

/** Faults that show before a part of the answer has been passed on. */
const RETRIED: readonly EndlessFault[] = [
  'endless-head',
  'endless-interim',
  'endless-error',
  'endless-chunks',
  'endless-chunk-extension',
  'endless-trailer',
  'endless-not-http',
  'trickled-head',
  'trickled-body',
];

/** Faults of attempts that count as answered or cancelled. */
const JUDGED: readonly EndlessFault[] = [
  'endless-body',
  'late-bytes-after-end',
  'trickled-head',
  'trickled-stream',
];

function book(
  gateway: LocalGateway,
  attemptId: string,
  key?: string,
): Promise<Answer> {
  return call(gateway, {
    method: 'POST',
    path: '/book/7',
    body: 'x',
    attemptId,
    abortAfterMs: GIVE_UP_MS,
    ...(key === undefined ? {} : {key}),
  });
}

/** Sends a look-up whose answer is read by the caller of this function. */
function openCall(gateway: LocalGateway, attemptId: string): ClientRequest {
  const outgoing = httpRequest({
    ...gateway.caller,
    path: '/rooms/1',
    headers: {Host: HOST, 'X-Ibisbeam-Attempt-Id': attemptId},
    agent: false,
  });
  outgoing.on('error', () => {});
  outgoing.end();
  return outgoing;
}

function isClosed({closedAtMs}: EndlessAnswer): boolean {
  return closedAtMs !== undefined;
}

function statusOf(answer: Answer): number {
  return answer.complete ? answer.status : 0;
}

describe('answers without end', () => {
  let harness: Harness;

  beforeEach(async () => {
    harness = await startHarness({}, 2, SETTINGS);
  });
  afterEach(() => harness.stop());

  function endlessLines(): readonly string[] {
    return harness.logLines.filter(line =>
      line.includes('event=endless-answer'),
    );
  }

  function endlessAnswersOf(attemptId: string) {
    return harness.targets
      .flatMap(target => target.endlessAnswers)
      .filter(answer => answer.attemptId === attemptId);
  }

  async function keyOfFirstTarget(): Promise<string> {
    for (let index = 0; index < MAXIMUM_KEYS; index += 1) {
      const key = `key-${index}`;
      const attemptId = `find-${index}-${timers.nowMs()}`;
      await call(harness.gateway, {attemptId, key});
      if (harness.targets[0]?.runs.at(-1)?.attemptId === attemptId) {
        return key;
      }
    }
    throw new Error('no key belongs to the first target');
  }

  /** Plans the fault for the next request, whichever target gets it. */
  async function withFault<Result>(
    fault: EndlessFault,
    send: () => Promise<Result>,
  ): Promise<Result> {
    for (const target of harness.targets) {
      target.clearPlan();
      target.plan(fault);
    }
    const result = await send();
    for (const target of harness.targets) {
      target.clearPlan();
    }
    return result;
  }

  for (const {fault, statuses, why} of EXPECTATIONS) {
    // Guards against answers without end that hold a caller for longer than its
    // route allows, look complete, run a booking twice, keep their connection
    // or leave no trace.
    it(`end a booking once and in time after ${fault}`, async () => {
      const attemptId = `booking-${fault}`;
      const linesBefore = endlessLines().length;
      const startedAtMs = timers.nowMs();
      const answer = await withFault(fault, () =>
        book(harness.gateway, attemptId),
      );
      const tookMs = timers.nowMs() - startedAtMs;
      assert.ok(tookMs < ROUTE_TIMEOUT_MS + MARGIN_MS, `took ${tookMs} ms`);
      assert.ok(statuses.includes(statusOf(answer)), `${answer.status}`);
      assert.equal(countRuns(harness, attemptId), 1);
      await waitUntil(() => endlessAnswersOf(attemptId).every(isClosed));
      const lines = endlessLines().slice(linesBefore);
      assert.equal(lines.length, why === undefined ? 0 : 1, lines.join('\n'));
      if (why !== undefined) {
        assert.match(lines[0] ?? '', new RegExp(`why=${why}`));
        assert.match(lines[0] ?? '', /target=i-\d .*bytes=\d+/);
      }
    });
  }

  // Guards against a look-up that fails although another target could answer.
  for (const fault of RETRIED) {
    it(`leave a look-up to another target after ${fault}`, async () => {
      const attemptId = `look-up-${fault}`;
      const [first, second] = harness.targets;
      const key = await keyOfFirstTarget();
      first?.plan(fault);
      const answer = await call(harness.gateway, {
        attemptId,
        key,
        abortAfterMs: GIVE_UP_MS,
      });
      first?.clearPlan();
      assert.equal(statusOf(answer), 200);
      assert.equal(second?.runs.at(-1)?.attemptId, attemptId);
      await waitUntil(() => endlessAnswersOf(attemptId).every(isClosed));
    });
  }

  // Guards against a target that keeps its requests although its answers have no
  // end, because the attempt itself counts as answered or cancelled.
  for (const fault of JUDGED) {
    it(`count as failures of their target after ${fault}`, async () => {
      const [first, second] = harness.targets;
      const key = await keyOfFirstTarget();
      first?.plan(...new Array<EndlessFault>(SLOTS).fill(fault));
      const bookings: Promise<Answer>[] = [];
      for (let index = 0; index < SLOTS; index += 1) {
        bookings.push(book(harness.gateway, `judged-${index}`, key));
      }
      await Promise.all(bookings);
      await waitUntil(() => (first?.endlessAnswers ?? []).every(isClosed));
      assert.equal(first?.endlessAnswers.length, SLOTS);
      await call(harness.gateway, {attemptId: 'afterwards', key});
      assert.equal(second?.runs.at(-1)?.attemptId, 'afterwards');
    });
  }

  // Guards against readers for whom a VM holds a body that they do not read.
  it('stop at a reader who does not read', async () => {
    const attemptId = 'slow-reader';
    let whole: boolean | undefined;
    await withFault('endless-body', async () => {
      const outgoing = openCall(harness.gateway, attemptId);
      outgoing.on('response', response => {
        response.on('error', () => {});
        response.on('close', () => {
          whole = response.complete;
        });
        // Reads only what is there when the time is up.
        timers.after(ROUTE_TIMEOUT_MS + MARGIN_MS, () => response.resume());
      });
      await waitUntil(() => whole !== undefined);
    });
    assert.equal(whole, false);
    const [answer] = endlessAnswersOf(attemptId);
    assert.ok(answer && isClosed(answer));
    assert.ok(
      answer.bytes < BUFFERED_ON_THE_WAY_BYTES,
      `${answer.bytes} bytes were taken from the target`,
    );
  });

  it('take nothing from the callers of other targets', async () => {
    const [first, second] = harness.targets;
    const key = await keyOfFirstTarget();
    first?.plan(...new Array<EndlessFault>(10).fill('endless-body'));
    const endless = Array.from({length: 10}, (_, index) =>
      book(harness.gateway, `beside-${index}`, key),
    );
    await waitUntil(() => endlessAnswersOf('beside-0').length > 0);
    const startedAtMs = timers.nowMs();
    const answer = await call(harness.gateway, {attemptId: 'other'});
    const tookMs = timers.nowMs() - startedAtMs;
    await Promise.all(endless);
    first?.clearPlan();
    assert.equal(statusOf(answer), 200);
    assert.ok(tookMs < ROUTE_TIMEOUT_MS / 2, `took ${tookMs} ms`);
    assert.ok(second);
  });

  // Guards against a planned stop that waits for an answer without end until its
  // own bound and then cuts whatever is in flight.
  it('do not hold up a planned stop', async () => {
    const attemptId = 'stopped';
    await withFault('trickled-stream', async () => {
      const outgoing = openCall(harness.gateway, attemptId);
      outgoing.on('response', response => {
        response.on('error', () => {});
        response.resume();
      });
      await waitUntil(() => endlessAnswersOf(attemptId).length > 0);
    });
    await harness.gateway.gateway.stop();
    assert.ok(endlessAnswersOf(attemptId).every(isClosed));
    assert.ok(
      !harness.logLines.some(line => line.includes('event=stop-bound-hit')),
    );
  });

  it('are counted by service and cause', async () => {
    const {network} = JSON.parse(harness.gateway.settingsText) as {
      readonly network: {readonly internal_ports: readonly number[]};
    };
    const [, port = 0] = network.internal_ports;
    const {host} = harness.gateway.caller;
    await withFault('endless-head', () => book(harness.gateway, 'counted'));
    const {body} = await get({host, port}, '/metrics');
    assert.match(
      body,
      /ibisbeam_endless_answers_total\{service="availability",why="head-too-long"\} [1-9]/,
    );
  });
});

describe('long answers that end', () => {
  // Guards against bounds that cut answers which are only long.
  it('pass, with a stated length and without', async () => {
    const harness = await startHarness({bodyBytes: 3_000_000}, 1, {
      answers: {open_body_bytes: 4_000_000},
    });
    try {
      for (const fault of ['none', 'unframed'] as const) {
        harness.targets[0]?.plan(fault);
        const answer = await call(harness.gateway, {path: '/packs/7'});
        assert.ok(answer.complete, fault);
        assert.equal(answer.body.length, 3_000_000);
      }
      assert.ok(
        !harness.logLines.some(line => line.includes('event=endless-answer')),
      );
    } finally {
      await harness.stop();
    }
  });

  // Guards against streamed answers that leave listeners on their connection,
  // and against a second answer that the next request on it would get.
  it('leave their connection as it was', async () => {
    const harness = await startHarness({bodyBytes: 600_000}, 1);
    const warnings: string[] = [];
    const onWarning = (warning: Error): void => {
      warnings.push(warning.name);
    };
    process.on('warning', onWarning);
    try {
      for (let index = 0; index < DOWNLOADS; index += 1) {
        const answer = await call(harness.gateway, {path: '/packs/7'});
        assert.ok(answer.complete);
      }
      const [target] = harness.targets;
      assert.equal(target?.connectionCount(), 1);
      assert.deepEqual(warnings, []);
      target.plan('extra-answer');
      await call(harness.gateway, {path: '/packs/7'});
      const own = await call(harness.gateway, {attemptId: 'own'});
      const seal = String(own.headers['x-ibisbeam-response-seal']);
      assert.ok(seal.endsWith('-own'), seal);
      assert.equal(target.connectionCount(), 2);
    } finally {
      process.off('warning', onWarning);
      await harness.stop();
    }
  });

  // Guards against a bound on bodies without a length that holds for others.
  it('pass beyond the bound of bodies without a length', async () => {
    const harness = await startHarness({bodyBytes: 3_000_000}, 1, SETTINGS);
    try {
      const answer = await call(harness.gateway, {path: '/packs/7'});
      assert.ok(answer.complete);
      assert.equal(answer.body.length, 3_000_000);
    } finally {
      await harness.stop();
    }
  });
});
