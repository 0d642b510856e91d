/**
 * Measures a VM that gets 50 answers without end at once, with targets and
 * callers in the same process on loopback; the figures include theirs:
 * `node --expose-gc packages/stand_ins/dist/test/object_platform/measure_endless_answers.js`.
 */
import {type ClientRequest, request as httpRequest} from 'node:http';
import {type EndlessFault, type LocalGateway} from '../../src/index.js';
import {
  HOST,
  call,
  isReady,
  startHarness,
  timers,
  waitUntil,
} from './harness.js';

interface Case {
  readonly fault: EndlessFault;
  /** Whether the callers read what they get. */
  readonly areReading: boolean;
}

const CASES: readonly Case[] = [
  {fault: 'endless-head', areReading: true},
  {fault: 'endless-interim', areReading: true},
  {fault: 'endless-body', areReading: true},
  {fault: 'endless-body', areReading: false},
  {fault: 'endless-error', areReading: true},
  {fault: 'endless-chunks', areReading: true},
  {fault: 'trickled-stream', areReading: true},
];
const ANSWERS = 50;
const TARGETS = 25;
/** Time in which all requests reach a target. */
const SENDING_MS = 300;
const OBSERVED_MS = 3_000;
const SAMPLE_MS = 20;
const PROBE_INTERVAL_MS = 100;
const COLLECTIONS = 4;
const BYTES_PER_MEGABYTE = 1_048_576;

/** Buffers of closed connections are freed some time after a collection. */
async function collectGarbage(): Promise<void> {
  for (let index = 0; index < COLLECTIONS; index += 1) {
    globalThis.gc?.();
    await timers.sleep(PROBE_INTERVAL_MS);
  }
}

function memoryBytes(): number {
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

function sendBooking(gateway: LocalGateway, areReading: boolean) {
  const outgoing = httpRequest({
    ...gateway.caller,
    method: 'POST',
    path: '/book/1',
    headers: {Host: HOST, 'X-Ibisbeam-Attempt-Id': 'endless'},
    agent: false,
  });
  outgoing.on('error', () => {});
  outgoing.on('response', response => {
    response.on('error', () => {});
    if (areReading) {
      response.resume();
    }
  });
  outgoing.end();
  return outgoing;
}

async function measure({fault, areReading}: Case): Promise<string> {
  const harness = await startHarness({slots: ANSWERS}, TARGETS);
  await waitUntil(() => isReady(harness.gateway));
  await collectGarbage();
  const restBytes = memoryBytes();
  let peakBytes = restBytes;
  let slowestProbeMs = 0;
  let failedProbes = 0;
  const sampler = timers.every(SAMPLE_MS, () => {
    peakBytes = Math.max(peakBytes, memoryBytes());
  });
  for (const target of harness.targets) {
    target.plan(...new Array<EndlessFault>(ANSWERS).fill(fault));
  }
  const bookings: ClientRequest[] = [];
  for (let index = 0; index < ANSWERS; index += 1) {
    bookings.push(sendBooking(harness.gateway, areReading));
  }
  await timers.sleep(SENDING_MS);
  for (const target of harness.targets) {
    target.clearPlan();
  }
  const endMs = timers.nowMs() + OBSERVED_MS;
  while (timers.nowMs() < endMs) {
    const sentMs = timers.nowMs();
    const {status} = await call(harness.gateway);
    slowestProbeMs = Math.max(slowestProbeMs, timers.nowMs() - sentMs);
    failedProbes += status === 200 ? 0 : 1;
    await timers.sleep(PROBE_INTERVAL_MS);
  }
  sampler.cancel();
  const answers = harness.targets.flatMap(target => target.endlessAnswers);
  const stillOpen = answers.filter(
    ({closedAtMs}) => closedAtMs === undefined,
  ).length;
  await collectGarbage();
  const heldBytes = memoryBytes();
  for (const booking of bookings) {
    booking.destroy();
  }
  await harness.stop();
  const reader = areReading ? 'read' : 'not read';
  return (
    `${fault}, ${reader}: peak ${megabytes(peakBytes - restBytes)} MB, ` +
    `after ${OBSERVED_MS / 1_000} s ${megabytes(heldBytes - restBytes)} MB ` +
    `and ${stillOpen} of ${answers.length} connections; ` +
    `slowest other look-up ${Math.round(slowestProbeMs)} ms, failed ${failedProbes}`
  );
}

function megabytes(bytes: number): string {
  return (bytes / BYTES_PER_MEGABYTE).toFixed(1);
}

for (const measured of CASES) {
  process.stdout.write(`${await measure(measured)}\n`);
}
process.exit(0);
