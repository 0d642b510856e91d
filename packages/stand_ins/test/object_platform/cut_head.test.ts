import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {
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

const POSITIONS = 12;
/** A target that has failed is avoided for up to this long. */
const AVOIDED_MS = 250;

// Guards against callers that get an empty or short answer as a whole one, since its
// target stopped in the middle of the head and closed the connection.
describe('an answer whose target stops in the middle of its head', () => {
  let harness: Harness;
  let target: ScriptedTarget | undefined;
  let cuts: number;

  beforeEach(async () => {
    cuts = 0;
    harness = await startHarness({}, 0);
    target = await startScriptedTarget(
      harness.fleet,
      'i-cut',
      ({attemptId, socket}) => {
        const text = answerText(attemptId);
        const headBytes = text.indexOf('\r\n\r\n') + '\r\n\r\n'.length;
        const position = Number(attemptId.split('-').at(-1));
        const writtenBytes = Math.floor((headBytes * position) / POSITIONS);
        cuts += 1;
        socket.end(text.slice(0, Math.min(writtenBytes, headBytes - 1)));
      },
    );
    await waitUntil(() =>
      harness.logLines.some(line => /event=target-added/.test(line)),
    );
  });
  afterEach(async () => {
    await target?.close();
    await harness.stop();
  });

  for (const [path, method] of [
    ['/rooms/1', 'GET'],
    ['/book/1', 'POST'],
    ['/packs/1', 'GET'],
  ] as const) {
    it(`is no answer for ${method} ${path}`, async () => {
      for (let position = 1; position <= POSITIONS; position += 1) {
        const {status, complete} = await call(harness.gateway, {
          method,
          path,
          attemptId: `${method}-${position}`,
          ...(method === 'POST' && {body: 'room=1'}),
        });
        assert.ok(complete);
        assert.ok(status >= 500, `status ${status} at position ${position}`);
        await timers.sleep(AVOIDED_MS);
      }
      assert.ok(cuts >= POSITIONS / 2, `${cuts} requests reached the target`);
    });
  }
});
