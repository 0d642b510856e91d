import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {FinishedRequest} from '../src/forwarding/context.js';
import {createRequestLog} from '../src/forwarding/request_log.js';

const ANSWERED: FinishedRequest = {
  attemptId: 'call-1',
  route: 'look-up',
  configurationVersion: 13,
  service: 'availability',
  outcome: 'answered',
  status: 200,
  detail: '',
  workspace: undefined,
  attempts: 1,
  tookMs: 40,
  sinceLastAttemptMs: 40,
  affinityKey: undefined,
  lastPlacement: undefined,
  lastPeer: undefined,
};

interface LoggedEvent {
  readonly event: string;
  readonly [field: string]: unknown;
}

describe('log of finished requests', () => {
  function record(requests: readonly FinishedRequest[]): LoggedEvent[] {
    const logged: LoggedEvent[] = [];
    const requestLog = createRequestLog({
      log: (_level, event, fields) => logged.push({event, ...fields}),
    });
    for (const request of requests) {
      requestLog.record(request);
    }
    requestLog.flush();
    return logged;
  }

  // Guards against a log of which only the last seconds are left when a request
  // that was routed by a replaced configuration is looked for.
  it('counts answered requests by configuration, and samples them', () => {
    const requests: FinishedRequest[] = [];
    for (let call = 0; call < 3_200; call += 1) {
      const configurationVersion = call < 3_000 ? 13 : 10;
      requests.push({
        ...ANSWERED,
        attemptId: `call-${call}`,
        configurationVersion,
      });
    }
    const logged = record(requests);
    const sampled = logged.filter(({event}) => event === 'request-finished');
    assert.ok(
      sampled.length > 100 && sampled.length < 400,
      `${sampled.length} sampled`,
    );
    assert.deepEqual(
      logged.filter(({event}) => event === 'requests-answered'),
      [
        {
          event: 'requests-answered',
          configuration: 13,
          answered: 3_000,
          longestMs: 40,
        },
        {
          event: 'requests-answered',
          configuration: 10,
          answered: 200,
          longestMs: 40,
        },
      ],
    );
  });

  it('logs every request that the first target did not answer', () => {
    const requests: readonly FinishedRequest[] = [
      {...ANSWERED, outcome: 'refused', status: 503, attempts: 0},
      {...ANSWERED, outcome: 'client-left', status: 0},
      {...ANSWERED, status: 500},
      {...ANSWERED, attempts: 2},
      {...ANSWERED, attempts: 0, lastPeer: 'edge-2'},
      {...ANSWERED, attemptId: undefined},
    ];
    const logged = record(requests);
    assert.equal(
      logged.filter(({event}) => event === 'request-finished').length,
      requests.length,
    );
  });

  it('logs no count while nothing is answered', () => {
    assert.deepEqual(record([]), []);
  });
});
