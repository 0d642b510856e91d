import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createResponseMeter} from '../src/forwarding/response_meter.js';

const BOUNDS = {headBytes: 1_000, openBodyBytes: 5_000, trickleMs: 100};

describe('response meter', () => {
  it('bounds the head, but not the body that arrives with its end', () => {
    const meter = createResponseMeter(BOUNDS);
    assert.equal(meter.record(900, 0), undefined);
    assert.equal(meter.record(60_000, 0), undefined);
    assert.equal(meter.record(1, 0), 'head-too-long');
    assert.equal(meter.bytes(), 60_901);
  });

  it('bounds a body without a length, counted from the end of its head', () => {
    const meter = createResponseMeter(BOUNDS);
    meter.record(900, 0);
    meter.recordHead(false);
    assert.equal(meter.record(5_000, 0), undefined);
    assert.equal(meter.record(1, 0), 'body-too-long');
  });

  it('leaves a body with a length to its length', () => {
    const meter = createResponseMeter(BOUNDS);
    meter.recordHead(true);
    assert.equal(meter.record(1_000_000, 0), undefined);
  });

  it('takes a response for trickled that began long ago, not a late one', () => {
    const meter = createResponseMeter(BOUNDS);
    assert.ok(!meter.isTrickling(1_000));
    meter.record(1, 1_000);
    assert.ok(!meter.isTrickling(1_100));
    assert.ok(meter.isTrickling(1_101));
  });
});
