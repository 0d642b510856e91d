import {
  type MembershipView,
  type RequestRecord,
  spendsErrorBudget,
} from '@ibisbeam/decision';
import type {Task, TaskContext} from '../../core/kernel/index.js';
import type {
  JournalEntry,
  TaskMessages,
  VmEvent,
} from '../../core/messages/index.js';
import type {TimerHandle} from '../../core/timers/index.js';
import {describeEvent, describeMembershipChange} from './describe_event.js';
import {createRefusalCounter} from './refusal_counter.js';
import {type RingBuffer, createRingBuffer} from './ring_buffer.js';

/** Events of the VM itself; enough to look back over a whole night. */
const EVENT_CAPACITY = 5_000;
/** Requests that were refused, aborted or ended with an unknown outcome. */
const FAILED_REQUEST_CAPACITY = 5_000;
/** Refusals caused by callers, such as a missing approval. */
const CALLER_ERROR_CAPACITY = 1_000;
/** Answered requests and decisions; a busy VM overwrites it in seconds. */
const ORDINARY_REQUEST_CAPACITY = 4_000;
const REFUSAL_COUNT_INTERVAL_MS = 60_000;

/** Records what this VM did and why, in ring buffers of fixed size. */
export function createJournalTask(context: TaskContext): Task<'journal'> {
  const {timers} = context;
  const events = createRingBuffer<JournalEntry>(EVENT_CAPACITY);
  const failed = createRingBuffer<JournalEntry>(FAILED_REQUEST_CAPACITY);
  const callerErrors = createRingBuffer<JournalEntry>(CALLER_ERROR_CAPACITY);
  const ordinary = createRingBuffer<JournalEntry>(ORDINARY_REQUEST_CAPACITY);
  const refusalCounter = createRefusalCounter();
  let lastView: MembershipView | undefined;
  let refusalTimer: TimerHandle | undefined;

  function addRequest(record: RequestRecord): void {
    refusalCounter.add(record);
    const {request, ...fields} = record;
    const entry: JournalEntry = {
      atWallMs: timers.wallMs(),
      event: 'request-finished',
      request,
      fields,
    };
    ringFor(record).add(entry);
  }

  /** A burst of invalid requests must not evict the failed ones. */
  function ringFor({result, refusal}: RequestRecord): RingBuffer<JournalEntry> {
    if (result === 'answered') {
      return ordinary;
    }
    const countsAgainstBudget = refusal === undefined || spendsErrorBudget(refusal);
    return countsAgainstBudget ? failed : callerErrors;
  }

  function observe(event: VmEvent): void {
    const atWallMs = timers.wallMs();
    if (event.kind === 'request-finished') {
      addRequest(event.record);
      return;
    }
    if (event.kind === 'membership-changed') {
      for (const entry of describeMembershipChange(lastView, event.view)) {
        events.add({atWallMs, ...entry});
      }
      lastView = event.view;
      return;
    }
    const described = describeEvent(event);
    if (!described) {
      return;
    }
    const buffer = described.request === undefined ? events : ordinary;
    buffer.add({atWallMs, ...described});
  }

  function recordRefusals(): void {
    const atWallMs = timers.wallMs();
    for (const fields of refusalCounter.takeCounts()) {
      events.add({atWallMs, event: 'requests-refused', fields});
    }
  }

  function receive(message: TaskMessages['journal']): void {
    const {request, sinceWallMs = 0, limit} = message;
    if (request !== undefined) {
      const all = [
        ...ordinary.items(),
        ...callerErrors.items(),
        ...failed.items(),
      ];
      const found = all.filter(entry => entry.request === request);
      message.reply(found.slice(-limit));
      return;
    }
    recordRefusals();
    const found = events.items().filter(entry => entry.atWallMs >= sinceWallMs);
    message.reply(found.slice(-limit));
  }

  return {
    start: async () => {
      refusalTimer = timers.every(REFUSAL_COUNT_INTERVAL_MS, recordRefusals);
    },
    stop: async () => refusalTimer?.cancel(),
    observe,
    receive,
  };
}
