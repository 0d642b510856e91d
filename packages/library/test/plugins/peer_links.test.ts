import assert from 'node:assert/strict';
import {test} from 'node:test';
import {incarnation, vmId} from '@ibisbeam/decision';
import {
  MAXIMUM_QUEUED_MESSAGES,
  createSendQueue,
} from '../../src/plugins/peer_links/send_queue.js';
import {
  type Greeting,
  MAXIMUM_GREETING_BYTES,
  type PeerMessage,
  negotiateVersion,
  decodeFrame,
  decodeGreeting,
  encodeMessageBody,
  encodeFrame,
  encodeGreeting,
} from '../../src/plugins/peer_links/wire.js';

const GREETING: Greeting = {
  kind: 'greeting',
  vm: vmId('riga-a-1'),
  incarnation: incarnation('one'),
  minimumVersion: 1,
  maximumVersion: 3,
};

function message(kind: string, number: number): PeerMessage {
  return {channel: 'steering', body: {kind, number}};
}

function numbers(messages: readonly PeerMessage[]): readonly unknown[] {
  return messages.map(({body}) => (body as {number: number}).number);
}

test('two VMs use the highest protocol version that both support', () => {
  const ownVersions = {minimum: 2, maximum: 5};
  assert.equal(negotiateVersion(ownVersions, GREETING).unsafeCoerce(), 3);
});

test('VMs without a common protocol version do not connect', () => {
  const error = negotiateVersion({minimum: 4, maximum: 5}, GREETING).swap();
  assert.equal(error.unsafeCoerce().kind, 'no-common-version');
});

test('a greeting with fields of a later version is accepted', () => {
  const later = encodeGreeting({...GREETING, ...{compression: 'zstd'}});
  assert.equal(decodeGreeting(later).unsafeCoerce().vm, GREETING.vm);
});

test('a greeting over its size limit is refused before it is decoded', () => {
  const long = new Uint8Array(MAXIMUM_GREETING_BYTES + 1);
  assert.equal(decodeGreeting(long).isLeft(), true);
});

test('a frame that is not a list of messages is refused', () => {
  assert.equal(decodeFrame(encodeMessageBody({kind: 'beat'})).isLeft(), true);
  assert.equal(decodeFrame(encodeMessageBody([['nowhere', 1]])).isLeft(), true);
  assert.equal(decodeFrame(new Uint8Array([0xc1])).isLeft(), true);
  assert.equal(decodeFrame(encodeFrame([message('x', 1)])).isRight(), true);
});

test('a full queue drops its oldest replaceable message for a new one', () => {
  const queue = createSendQueue();
  queue.add(message('slots-wanted', 0), 10);
  queue.add(message('pool-load', 1), 10);
  queue.add(message('pool-load', 2), 10);
  for (let number = 3; queue.size() < MAXIMUM_QUEUED_MESSAGES; number += 1) {
    queue.add(message('slots-wanted', number), 10);
  }
  assert.equal(queue.add(message('slots-wanted', 999), 10), 1);
  const taken = numbers(queue.take(MAXIMUM_QUEUED_MESSAGES, 1e9));
  assert.deepEqual(taken.slice(0, 3), [0, 2, 3]);
  assert.equal(taken.at(-1), 999);
});

test('a full queue without replaceable messages drops the new one', () => {
  const queue = createSendQueue();
  for (let number = 0; number < MAXIMUM_QUEUED_MESSAGES; number += 1) {
    queue.add(message('slots-wanted', number), 10);
  }
  assert.equal(queue.add(message('slots-wanted', 999), 10), 1);
  const taken = numbers(queue.take(MAXIMUM_QUEUED_MESSAGES, 1e9));
  assert.equal(taken.includes(999), false);
});
