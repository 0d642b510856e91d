import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  type AnswerHeadFault,
  type AnswerHeadParts,
  findAnswerHeadProblem,
} from '../../../src/core/http/index.js';

const NAMING = {header: 'x-id', identifier: 'a-1', isRequired: true};
const NAMED = ['X-Id', 'a-1'];

function faultOf(
  head: AnswerHeadParts,
  naming = NAMING,
): AnswerHeadFault | undefined {
  return findAnswerHeadProblem(head, naming)?.fault;
}

// Guards against two forwarding paths that judge the same answer differently.
describe('the head of an answer', () => {
  it('has a final status', () => {
    for (const statusCode of [200, 299, 304, 404, 500, 599]) {
      assert.equal(faultOf({statusCode, rawHeaders: NAMED}), undefined);
    }
    for (const statusCode of [0, 1, 99, 600, 999, undefined]) {
      const fault = faultOf({statusCode, rawHeaders: NAMED});
      assert.equal(fault, 'impossible-status');
    }
    for (const statusCode of [100, 101, 150, 199]) {
      const fault = faultOf({statusCode, rawHeaders: NAMED});
      assert.equal(fault, 'interim-status');
    }
  });

  it('has names that may be written again', () => {
    for (const name of ['x y', 'x\u00e9', 'x:', '']) {
      const rawHeaders = [...NAMED, name, 'v'];
      assert.equal(faultOf({statusCode: 200, rawHeaders}), 'malformed-name');
    }
  });

  it('has no other transfer coding than chunks', () => {
    for (const [codings, fault] of [
      [['chunked'], undefined],
      [['Chunked '], undefined],
      [['gzip, chunked'], 'unknown-framing'],
      [['identity'], 'unknown-framing'],
      [['chunked', 'chunked'], 'unknown-framing'],
    ] as const) {
      const lines = codings.flatMap(coding => ['Transfer-Encoding', coding]);
      const rawHeaders = [...NAMED, ...lines];
      assert.equal(faultOf({statusCode: 200, rawHeaders}), fault);
    }
  });

  it('names the request, if it has to, and no other one', () => {
    const optional = {...NAMING, isRequired: false};
    const other = {statusCode: 200, rawHeaders: ['x-ID', 'a-2']};
    const both = {statusCode: 200, rawHeaders: [...NAMED, 'X-Id', 'a-2']};
    const none = {statusCode: 200, rawHeaders: []};
    assert.equal(faultOf(other), 'foreign');
    assert.equal(faultOf(other, optional), 'foreign');
    assert.equal(faultOf(both, optional), 'foreign');
    assert.equal(faultOf(none), 'foreign');
    assert.equal(faultOf(none, optional), undefined);
  });
});
