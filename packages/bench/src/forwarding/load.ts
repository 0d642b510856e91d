/** HTTP load generators whose own overhead is small against the measurement. */
import {Agent, request} from 'node:http';
import type {TimerService} from '@ibisbeam/library';
import {type Histogram, build} from 'hdr-histogram-js';

const MICROSECONDS_PER_MILLISECOND = 1_000;
const MAXIMUM_LATENCY_MICROSECONDS = 60_000_000;

export interface LoadResult {
  readonly requests: number;
  readonly failures: number;
  readonly spanMs: number;
  readonly medianMs: number;
  readonly p99Ms: number;
}

export interface LoadTarget {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
}

interface Counters {
  readonly histogram: Histogram;
  requests: number;
  failures: number;
}

/** Keeps a fixed number of requests in flight for `spanMs`. */
export async function runClosedLoop(
  timers: TimerService,
  target: LoadTarget,
  inFlight: number,
  spanMs: number,
): Promise<LoadResult> {
  const agent = new Agent({keepAlive: true, maxSockets: inFlight});
  const counters = createCounters();
  const startMs = timers.nowMs();
  const endMs = startMs + spanMs;

  async function repeat(): Promise<void> {
    while (timers.nowMs() < endMs) {
      await sendRequest(timers, target, agent, counters);
    }
  }

  await Promise.all(Array.from({length: inFlight}, repeat));
  agent.destroy();
  return toResult(counters, timers.nowMs() - startMs);
}

/** Sends requests at a fixed rate, independent of the response times. */
export async function runOpenLoop(
  timers: TimerService,
  target: LoadTarget,
  perSecond: number,
  spanMs: number,
): Promise<LoadResult> {
  const agent = new Agent({keepAlive: true, maxSockets: 64});
  const counters = createCounters();
  const startMs = timers.nowMs();
  const pending: Promise<void>[] = [];
  for (;;) {
    const elapsedMs = timers.nowMs() - startMs;
    if (elapsedMs >= spanMs) {
      break;
    }
    const dueCount = Math.floor((elapsedMs / 1_000) * perSecond);
    while (pending.length < dueCount) {
      pending.push(sendRequest(timers, target, agent, counters));
    }
    await timers.sleep(1);
  }
  await Promise.all(pending);
  agent.destroy();
  return toResult(counters, timers.nowMs() - startMs);
}

function createCounters(): Counters {
  return {
    histogram: build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: MAXIMUM_LATENCY_MICROSECONDS,
      numberOfSignificantValueDigits: 3,
    }),
    requests: 0,
    failures: 0,
  };
}

function sendRequest(
  timers: TimerService,
  target: LoadTarget,
  agent: Agent,
  counters: Counters,
): Promise<void> {
  const startMs = timers.nowMs();
  return new Promise(resolve => {
    const finish = (succeeded: boolean) => {
      const tookMs = timers.nowMs() - startMs;
      counters.requests += 1;
      if (!succeeded) {
        counters.failures += 1;
      }
      counters.histogram.recordValue(
        Math.max(1, Math.round(tookMs * MICROSECONDS_PER_MILLISECOND)),
      );
      resolve();
    };
    const sent = request(
      target.url,
      {agent, headers: {...target.headers}},
      answer => {
        answer.on('data', () => {});
        answer.once('end', () => finish(answer.statusCode === 200));
        answer.once('error', () => finish(false));
      },
    );
    sent.once('error', () => finish(false));
    sent.end();
  });
}

function toResult(counters: Counters, spanMs: number): LoadResult {
  const {histogram, requests, failures} = counters;
  return {
    requests,
    failures,
    spanMs,
    medianMs: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
    p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND,
  };
}
