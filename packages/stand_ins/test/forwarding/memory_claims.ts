/** Claims of one or several VMs in one map, behind the claims messages. */
import type {
  ClaimDecision,
  ClaimEnd,
  ClaimRequest,
  RecordedAnswer,
  VmId,
} from '@ibisbeam/decision';
import type {PlugIn, Task} from '@ibisbeam/library';

interface Claim {
  readonly fingerprint: string;
  end?: ClaimEnd;
}

export interface MemoryClaims {
  readonly plugIn: PlugIn<'claims'>;
  /** While set, every claim gets this decision. */
  decision: ClaimDecision | undefined;
  /** While true, the recording of ends waits. */
  holdEnds: boolean;
  releaseEnds(): void;
  endOf(key: string): ClaimEnd | undefined;
  /** VMs that asked for a claim, in order. */
  readonly begunAt: VmId[];
}

export function createMemoryClaims(): MemoryClaims {
  const claims = new Map<string, Claim>();
  let held: (() => void)[] = [];

  function begin(request: ClaimRequest): ClaimDecision {
    if (memory.decision) {
      return memory.decision;
    }
    const key = request.key.idempotencyKey;
    const known = claims.get(key);
    if (!known || known.end?.kind === 'not-run') {
      claims.set(key, {fingerprint: request.fingerprint});
      return {kind: 'run', token: key};
    }
    if (known.fingerprint !== request.fingerprint) {
      return {kind: 'key-reused'};
    }
    if (!known.end) {
      return {kind: 'in-progress', retryAfterMs: 1_000};
    }
    return known.end.kind === 'answered'
      ? {kind: 'replay', answer: known.end.answer as RecordedAnswer}
      : {kind: 'outcome-unknown'};
  }

  const createTask = (vm: VmId): Task<'claims'> => ({
    start: async () => {},
    stop: async () => {},
    receive: message => {
      if (message.kind === 'begin') {
        memory.begunAt.push(vm);
        message.reply(begin(message.request));
        return;
      }
      if (message.kind !== 'end') {
        return;
      }
      const record = () => {
        claims.get(message.token)!.end = message.end;
        message.reply({recorded: true});
      };
      if (memory.holdEnds) {
        held.push(record);
        return;
      }
      record();
    },
  });

  const memory: MemoryClaims = {
    plugIn: {
      name: 'claims',
      dependsOn: [],
      subscribesTo: [],
      onFailure: 'fatal',
      create: context => createTask(context.settings.vm.id),
    },
    decision: undefined,
    begunAt: [],
    holdEnds: false,
    releaseEnds: () => {
      const waiting = held;
      held = [];
      for (const record of waiting) {
        record();
      }
    },
    endOf: key => claims.get(key)?.end,
  };
  return memory;
}
