import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import type {FleetTarget} from '../../src/index.js';
import {
  type CrashPlay,
  TARGET_COUNT,
  isQuarantined,
  startCrashPlay,
} from './crash_play.js';
import {type Answer, call, timers} from './harness.js';

const POPULAR_PATHS = ['/rooms/popular', '/rooms/7/today', '/rooms/8/today'];
/** Long enough for the paths to be in flight at most targets. */
const WORK_MS = 300;
const ROUND_INTERVAL_MS = 25;
const WARM_UP_ROUNDS = 40;
const ROUNDS = 200;
const ROUNDS_PER_DEATH = 12;

describe('requests in flight at targets that die for other reasons', () => {
  let crashPlay: CrashPlay;
  let dying: readonly FleetTarget[];

  beforeEach(async () => {
    crashPlay = await startCrashPlay();
    for (const target of crashPlay.targets()) {
      target.setWorkMs(WORK_MS);
    }
    dying = crashPlay.targets().slice(0, TARGET_COUNT / 2);
  });
  afterEach(() => crashPlay.stop());

  /** Sends popular and single requests; some of their callers leave early. */
  async function send(
    onRound: (index: number) => void,
  ): Promise<readonly Answer[]> {
    const answers: Promise<Answer>[] = [];
    for (let index = 0; index < WARM_UP_ROUNDS + ROUNDS; index += 1) {
      const gateway = crashPlay.gateways[index % crashPlay.gateways.length];
      const popular = POPULAR_PATHS[index % POPULAR_PATHS.length] ?? '';
      if (gateway) {
        const abortAfterMs = index % 8 === 0 ? WORK_MS / 2 : undefined;
        answers.push(
          call(gateway, {path: popular, abortAfterMs}),
          call(gateway, {path: `/rooms/${index}`}),
        );
      }
      if (index >= WARM_UP_ROUNDS) {
        onRound(index - WARM_UP_ROUNDS);
      }
      await timers.sleep(ROUND_INTERVAL_MS);
    }
    return Promise.all(answers);
  }

  // Guards against a quarantine of what many callers send.
  it('are not refused if half of the targets die at once', async () => {
    const answers = await send(index => {
      if (index === 0) {
        for (const target of dying) {
          void target.close();
        }
      }
    });
    assert.equal(answers.filter(isQuarantined).length, 0);
  });

  // Guards against the same if the losses come one after the other.
  it('are not refused if half of the targets die one after the other', async () => {
    const answers = await send(index => {
      if (index % ROUNDS_PER_DEATH === 0) {
        void dying[index / ROUNDS_PER_DEATH]?.close();
      }
    });
    assert.equal(answers.filter(isQuarantined).length, 0);
  });

  // Guards against attempts that were ended here and count as losses.
  it('are not refused if half of the targets fall silent', async () => {
    const answers = await send(index => {
      if (index === 0) {
        for (const target of dying) {
          target.fallSilent();
        }
      }
    });
    assert.equal(answers.filter(isQuarantined).length, 0);
  });
});
