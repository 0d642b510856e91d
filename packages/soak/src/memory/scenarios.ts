/** Callers that make a VM hold much for them, by name. */
import type {AheadRequest} from './ahead_caller.js';
import type {MemoryScenario} from './measure_scenario.js';

const ORDER_BYTES = 200_000;
const SMALL_ORDER_BYTES = 20_000;
const SLOW_READER_MS = 6_000;

export const MEMORY_SCENARIOS: readonly MemoryScenario[] = [
  behindSlow(10),
  behindSlow(40),
  ordersAhead(150),
  {
    name: '80 callers with 60 orders of 20 KB behind a slow one',
    callers: 80,
    requests: [
      {method: 'GET', path: '/slow/1', bodyBytes: 0},
      ...repeat(60, {
        method: 'POST',
        path: '/order/1',
        bodyBytes: SMALL_ORDER_BYTES,
      }),
    ],
    readsAfterMs: 0,
  },
  {
    name: '40 slow readers of 12 downloads of 540 KB',
    callers: 40,
    requests: repeat(12, {method: 'GET', path: '/pack/1', bodyBytes: 0}),
    readsAfterMs: SLOW_READER_MS,
  },
];

/** Callers whose answers all wait for the first one. */
export function behindSlow(callers: number): MemoryScenario {
  return {
    name: `${callers} callers with 40 answers of 200 KB behind a slow one`,
    callers,
    requests: [
      {method: 'GET', path: '/slow/1', bodyBytes: 0},
      ...repeat(40, {method: 'GET', path: '/quick/1', bodyBytes: 0}),
    ],
    readsAfterMs: 0,
  };
}

export function ordersAhead(callers: number): MemoryScenario {
  return {
    name: `${callers} callers with 40 orders of 200 KB ahead`,
    callers,
    requests: repeat(40, {
      method: 'POST',
      path: '/order/1',
      bodyBytes: ORDER_BYTES,
    }),
    readsAfterMs: 0,
  };
}

function repeat(count: number, request: AheadRequest): readonly AheadRequest[] {
  return Array.from({length: count}, () => request);
}
