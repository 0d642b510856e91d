/** Targets and callers that send bytes without end, by name. */
import {ENDLESS_ANSWERS, ENDLESS_REQUESTS} from '@ibisbeam/stand-ins';
import type {CallerGroup, EndlessScenario} from './measure_endless.js';

const STEADY: CallerGroup = {kind: 'steady', count: 4};
const MANY: CallerGroup = {kind: 'sound', count: 40};
const BESIDE: CallerGroup = {kind: 'sound', count: 20};

export const ONE_BYTE_CHUNKS: EndlessScenario = {
  name: 'answers: one-byte-chunks',
  answers: ['one-byte-chunks'],
  callers: [MANY, STEADY],
};

export const ONE_BYTE_CHUNKS_AHEAD: EndlessScenario = {
  name: 'answers: one-byte-chunks every second time, requests ahead',
  answers: ['one-byte-chunks', 'none'],
  callers: [{kind: 'three-ahead', count: 16}, STEADY],
};

export const ENDLESS_SCENARIOS: readonly EndlessScenario[] = [
  {name: 'quiet', answers: [], callers: [MANY, STEADY]},
  ONE_BYTE_CHUNKS_AHEAD,
  ...ENDLESS_ANSWERS.map(kind => ({
    name: `answers: ${kind}`,
    answers: [kind],
    callers: [MANY, STEADY],
  })),
  ...[1, 20].map(count =>
    uploadsInPieces('mebibyte-in-one-byte-chunks', count),
  ),
  ...ENDLESS_REQUESTS.flatMap(kind =>
    [1, 20].map(count => uploadsInPieces(kind, count)),
  ),
];

export function uploadsInPieces(
  kind: CallerGroup['kind'],
  count: number,
): EndlessScenario {
  return {
    name: `${count} callers: ${kind}`,
    answers: [],
    callers: [{kind, count}, BESIDE, STEADY],
  };
}
