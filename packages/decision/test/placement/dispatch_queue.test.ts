import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  type WaitingRequest,
  createDispatchQueue,
  decideDispatch,
  maximumHoldMs,
} from '../../src/index.js';

interface NamedRequest extends WaitingRequest {
  readonly name: string;
}

function waitingRequest(
  name: string,
  urgency: WaitingRequest['urgency'],
  holdUntilMs = 100,
): NamedRequest {
  return {
    name,
    urgency,
    holdUntilMs,
    priority: 0,
    workspace: '',
    slotMs: 0,
  };
}

const noSlotTime = (): number => 0;

describe('dispatch queue', () => {
  it('orders requests in time before retries and late ones', () => {
    const queue = createDispatchQueue<NamedRequest>();
    queue.add(waitingRequest('late 1', 'late'));
    queue.add(waitingRequest('back', 'retry'));
    queue.add(waitingRequest('in time', 'in-time'));
    queue.add(waitingRequest('late 2', 'late'));
    assert.deepEqual(
      queue.first(10, noSlotTime).map(request => request.name),
      ['in time', 'back', 'late 1', 'late 2'],
    );
  });

  it('returns only the requested number out of hundreds', () => {
    const queue = createDispatchQueue<NamedRequest>();
    for (let index = 0; index < 500; index += 1) {
      queue.add(waitingRequest(String(index), 'late'));
    }
    assert.equal(queue.first(4, noSlotTime).length, 4);
    assert.equal(queue.size(), 500);
  });

  it('finds requests whose hold time has expired at any position', () => {
    const queue = createDispatchQueue<NamedRequest>();
    for (let index = 0; index < 50; index += 1) {
      queue.add(waitingRequest(String(index), 'in-time', 500));
    }
    queue.add(waitingRequest('over', 'late', 100));
    assert.deepEqual(queue.expired(99), []);
    assert.deepEqual(
      queue.expired(100).map(request => request.name),
      ['over'],
    );
  });

  it('requeues a request of changed urgency behind those of the new urgency', () => {
    const queue = createDispatchQueue<NamedRequest>();
    const moving = waitingRequest('moving', 'in-time');
    queue.add(moving);
    queue.add(waitingRequest('late', 'late'));
    moving.urgency = 'late';
    queue.requeue(moving);
    assert.deepEqual(
      queue.first(2, noSlotTime).map(request => request.name),
      ['late', 'moving'],
    );
    assert.ok(queue.remove(moving));
    assert.equal(queue.remove(moving), false);
  });

  it('holds no request longer than the dispatch rule does', () => {
    const clientTimeoutMs = 1_200;
    const decision = decideDispatch({
      expectedMs: 400,
      waitMs: 100,
      queueMs: 100,
      objectiveMs: 200,
      objectiveLeftMs: 100,
      deadlineLeftMs: 1_000,
      heldMs: maximumHoldMs(clientTimeoutMs),
      clientTimeoutMs,
      isRetry: false,
      isOutranked: false,
      isContended: false,
      isWarm: true,
    });
    assert.equal(decision.kind, 'refuse');
  });

  // More urgent requests first, and all others now and then.
  it('orders equally urgent requests by priority, with turns for all', () => {
    const queue = createDispatchQueue<NamedRequest>();
    queue.add({...waitingRequest('low', 'late'), priority: 2});
    for (let index = 1; index <= 5; index += 1) {
      queue.add({...waitingRequest(`high ${index}`, 'late'), priority: 1});
    }
    assert.deepEqual(
      queue.first(5, noSlotTime).map(request => request.name),
      ['high 1', 'high 2', 'high 3', 'low', 'high 4'],
    );
  });

  // A workspace that floods a service beside one that asks now and then.
  it('gives workspaces turns by the slot time that they have had', () => {
    const queue = createDispatchQueue<NamedRequest>();
    for (let index = 1; index <= 6; index += 1) {
      const request = waitingRequest(`flood ${index}`, 'late');
      queue.add({...request, workspace: 'flood', slotMs: 100});
    }
    const request = waitingRequest('rare', 'late');
    queue.add({...request, workspace: 'rare', slotMs: 100});
    const used = (workspace: string): number =>
      workspace === 'flood' ? 1_000 : 0;
    assert.deepEqual(
      queue.first(3, used).map(({name}) => name),
      ['rare', 'flood 1', 'flood 2'],
    );
  });
});
