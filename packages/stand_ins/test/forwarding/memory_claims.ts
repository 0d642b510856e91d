/** In-memory claims plug-in whose claims are shared by all VMs of a test. */
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
  /** If set, the decision for every claim. */
  decision: ClaimDecision | undefined;
  /** While true, claim ends are queued until `recordHeldEnds`. */
  holdEnds: boolean;
  recordHeldEnds(): void;
  endOf(key: string): ClaimEnd | undefined;
  /** VMs that requested a claim, in order. */
  readonly claimingVms: VmId[];
}

export function createMemoryClaims(): MemoryClaims {
  const claims = new Map<string, Claim>();
  let heldRecordings: (() => void)[] = [];

  function begin(request: ClaimRequest): ClaimDecision {
    if (memoryClaims.decision) {
      return memoryClaims.decision;
    }
    const key = request.key.idempotencyKey;
    const existing = claims.get(key);
    if (!existing || existing.end?.kind === 'not-run') {
      claims.set(key, {fingerprint: request.fingerprint});
      return {kind: 'run', token: key};
    }
    if (existing.fingerprint !== request.fingerprint) {
      return {kind: 'key-reused'};
    }
    if (!existing.end) {
      return {kind: 'in-progress', retryAfterMs: 1_000};
    }
    return existing.end.kind === 'answered'
      ? {kind: 'replay', answer: existing.end.answer as RecordedAnswer}
      : {kind: 'outcome-unknown'};
  }

  const createTask = (vm: VmId): Task<'claims'> => ({
    start: async () => {},
    stop: async () => {},
    receive: message => {
      if (message.kind === 'begin') {
        memoryClaims.claimingVms.push(vm);
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
      if (memoryClaims.holdEnds) {
        heldRecordings.push(record);
        return;
      }
      record();
    },
  });

  const memoryClaims: MemoryClaims = {
    plugIn: {
      name: 'claims',
      dependsOn: [],
      subscribesTo: [],
      onFailure: 'fatal',
      create: context => createTask(context.settings.vm.id),
    },
    decision: undefined,
    claimingVms: [],
    holdEnds: false,
    recordHeldEnds: () => {
      const pending = heldRecordings;
      heldRecordings = [];
      for (const record of pending) {
        record();
      }
    },
    endOf: key => claims.get(key)?.end,
  };
  return memoryClaims;
}
