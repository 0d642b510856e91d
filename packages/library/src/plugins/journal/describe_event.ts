/** Converts published events to journal entries. */
import {
  type Incarnation,
  type MembershipView,
  assertNever,
} from '@ibisbeam/decision';
import type {JournalEntry, VmEvent} from '../../core/messages/index.js';

type EntryContent = Omit<JournalEntry, 'atWallMs'>;

/**
 * @returns Undefined for events that the journal does not record, and for those
 *   that its task converts itself.
 */
export function describeEvent(event: VmEvent): EntryContent | undefined {
  switch (event.kind) {
    case 'configuration-in-force':
      return {
        event: 'configuration-in-force',
        fields: {generation: event.configuration.generation},
      };
    case 'freshness-changed':
      return {
        event: event.fresh ? 'configuration-fresh' : 'configuration-stale',
        fields: {why: event.why},
      };
    case 'store-reachability':
      return {
        event: event.reachable ? 'store-reachable' : 'store-unreachable',
        fields: {},
      };
    case 'peer-connected':
    case 'peer-disconnected':
      return {event: event.kind, fields: {peer: event.peer}};
    case 'steering-note':
      return describeSteeringNote(event.note);
    case 'stop-began':
      return {event: 'vm-stopping', fields: {endsAtMs: event.endsAtMs}};
    case 'membership-changed':
    case 'request-finished':
    case 'peer-message':
    case 'target-leaving-signal':
      return undefined;
    default:
      return assertNever(event);
  }
}

/**
 * Slots are lent and borrowed continuously under load. Metrics count these
 * notes; the journal omits them, so that they do not evict rarer events.
 */
function describeSteeringNote(
  note: Extract<VmEvent, {kind: 'steering-note'}>['note'],
): EntryContent | undefined {
  if (note.kind === 'slots-lent' || note.kind === 'slots-borrowed') {
    return undefined;
  }
  const {kind, ...fields} = note;
  if (note.kind === 'decision') {
    return {event: kind, request: note.request, fields};
  }
  return {event: kind, fields};
}

/** An incarnation that was unknown before does not count as a replacement. */
function wasReplaced(
  before: Incarnation | undefined,
  after: Incarnation | undefined,
): boolean {
  return before !== undefined && after !== undefined && before !== after;
}

/** One entry per VM that changed state or was replaced, and for self-doubt. */
export function describeMembershipChange(
  before: MembershipView | undefined,
  after: MembershipView,
): readonly EntryContent[] {
  const entries: EntryContent[] = [];
  for (const view of after.vms.values()) {
    const earlier = before?.vms.get(view.vm);
    const replaced = wasReplaced(earlier?.incarnation, view.incarnation);
    if (earlier && earlier.state === view.state && !replaced) {
      continue;
    }
    entries.push({
      event: 'vm-state-changed',
      fields: {
        vm: view.vm,
        from: earlier?.state ?? 'unknown',
        to: view.state,
        incarnation: view.incarnation,
      },
    });
  }
  if ((before?.selfDoubt ?? false) !== after.selfDoubt) {
    entries.push({event: 'self-doubt', fields: {doubts: after.selfDoubt}});
  }
  return entries;
}
