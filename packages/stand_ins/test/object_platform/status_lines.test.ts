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
  type ScriptedTarget,
  answerText,
  startScriptedTarget,
} from './scripted_target.js';

/** Those that the HTTP parser takes and an answer cannot have. */
const IMPOSSIBLE_STATUSES = ['000', '001', '099', '600', '700', '999'];
/** Of a target that goes on to say nothing. */
const INTERIM_STATUSES = ['100', '101', '102', '103', '150', '199'];
const FINAL_STATUSES = ['200', '299', '404', '500', '599'];

describe('a target that answers with any status line', () => {
  let harness: Harness;
  let scripted: ScriptedTarget;
  let unhandled: unknown[];

  function onUnhandled(error: unknown): void {
    unhandled.push(error);
  }

  beforeEach(async () => {
    unhandled = [];
    process.on('uncaughtException', onUnhandled);
    process.on('unhandledRejection', onUnhandled);
    harness = await startHarness({}, 0);
    scripted = await startScriptedTarget(
      harness.fleet,
      'i-scripted',
      ({attemptId, socket}) => {
        const [, status] = /^status-(\d{3})$/.exec(attemptId) ?? [];
        const text = answerText(attemptId);
        socket.write(
          status === undefined ? text : text.replace(' 200 ', ` ${status} `),
        );
      },
    );
    await waitUntil(async () => (await call(harness.gateway)).status === 200);
  });
  afterEach(async () => {
    await scripted.close();
    await harness.stop();
    process.removeListener('uncaughtException', onUnhandled);
    process.removeListener('unhandledRejection', onUnhandled);
  });

  function sendOrder(status: string): Promise<Answer> {
    return call(harness.gateway, {
      method: 'POST',
      path: '/book/7',
      attemptId: `status-${status}`,
    });
  }

  // Guards against a process that ends, with all requests under way, because the
  // writer of answers throws for a status that the parser has taken.
  it('costs the VM no other request', async () => {
    const sound = [];
    for (const status of [...IMPOSSIBLE_STATUSES, ...INTERIM_STATUSES]) {
      const answer = sendOrder(status);
      sound.push(call(harness.gateway, {path: '/rooms/1'}));
      assert.ok([502, 504].includes((await answer).status), status);
    }
    await timers.sleep(50);
    assert.deepEqual(unhandled, []);
    for (const answer of await Promise.all(sound)) {
      assert.equal(answer.status, 200);
    }
  });

  it('gets its final status passed on unchanged', async () => {
    for (const status of FINAL_STATUSES) {
      const answer = await sendOrder(status);
      assert.equal(answer.status, Number(status));
    }
    assert.deepEqual(unhandled, []);
  });
});
