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
import {createRefusalTally} from './refusal_tally.js';
import {type Ring, createRing} from './ring.js';

/** Events of the VM itself; a night's worth. */
const EVENT_CAPACITY = 5_000;
/** Requests that were refused, broken off or of unknown outcome. */
const NOTABLE_REQUEST_CAPACITY = 5_000;
/** Refusals that callers brought about, such as a missing approval. */
const CALLER_FAULT_CAPACITY = 1_000;
/** Answered requests and decisions; a busy VM fills it in seconds. */
const ORDINARY_REQUEST_CAPACITY = 4_000;
const TALLY_INTERVAL_MS = 60_000;

/** Remembers what this VM did and why, within a fixed number of entries. */
export function createJournalTask(context: TaskContext): Task<'journal'> {
  const {timers} = context;
  const events = createRing<JournalEntry>(EVENT_CAPACITY);
  const notable = createRing<JournalEntry>(NOTABLE_REQUEST_CAPACITY);
  const callerFaults = createRing<JournalEntry>(CALLER_FAULT_CAPACITY);
  const ordinary = createRing<JournalEntry>(ORDINARY_REQUEST_CAPACITY);
  const tally = createRefusalTally();
  let lastView: MembershipView | undefined;
  let tallying: TimerHandle | undefined;

  function addRequest(record: RequestRecord): void {
    tally.add(record);
    const {request, ...fields} = record;
    const entry: JournalEntry = {
      atWallMs: timers.wallMs(),
      event: 'request-finished',
      request,
      fields,
    };
    ringOf(record).add(entry);
  }

  /** A flood of wrong requests must not push out those that went wrong. */
  function ringOf({result, refusal}: RequestRecord): Ring<JournalEntry> {
    if (result === 'answered') {
      return ordinary;
    }
    const ownFault = refusal === undefined || spendsErrorBudget(refusal);
    return ownFault ? notable : callerFaults;
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
    const ring = described.request === undefined ? events : ordinary;
    ring.add({atWallMs, ...described});
  }

  function recordTally(): void {
    const atWallMs = timers.wallMs();
    for (const fields of tally.take()) {
      events.add({atWallMs, event: 'requests-refused', fields});
    }
  }

  function receive(message: TaskMessages['journal']): void {
    const {request, sinceWallMs = 0, limit} = message;
    if (request !== undefined) {
      const all = [
        ...ordinary.items(),
        ...callerFaults.items(),
        ...notable.items(),
      ];
      const found = all.filter(entry => entry.request === request);
      message.reply(found.slice(-limit));
      return;
    }
    recordTally();
    const found = events.items().filter(entry => entry.atWallMs >= sinceWallMs);
    message.reply(found.slice(-limit));
  }

  return {
    start: async () => {
      tallying = timers.every(TALLY_INTERVAL_MS, recordTally);
    },
    stop: async () => tallying?.cancel(),
    observe,
    receive,
  };
}
