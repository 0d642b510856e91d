/** Counts the store calls that claims of non-idempotent operations take. */
import {
  type ClaimsAction,
  createClaims,
  createRandomSource,
  incarnation,
  requestId,
  serviceName,
  vmId,
  workspaceName,
} from '@ibisbeam/decision';

export interface ClaimFigures {
  readonly operations: number;
  readonly writes: number;
  readonly reads: number;
}

const TIME = {nowMs: 0, wallMs: 0};

export function measureClaims(operations: number): ClaimFigures {
  const claims = createClaims({
    vm: vmId('vm-1'),
    incarnation: incarnation('vm-1-1'),
    epoch: 1,
    random: createRandomSource(1),
    maximumRecordedBytes: 65_536,
    deferredWritesPerSecond: 20,
  });
  let writes = 0;
  let reads = 0;
  let version = 0;
  let ended = 0;

  function performAll(actions: readonly ClaimsAction[]): void {
    for (const action of actions) {
      perform(action);
    }
  }

  function perform(action: ClaimsAction): void {
    if (action.kind === 'decide' && action.decision.kind === 'run') {
      const {correlationId: id, decision} = action;
      const end = {
        kind: 'answered' as const,
        answer: {status: 200, headers: {}},
      };
      const {token} = decision;
      performAll(
        claims.step({kind: 'end', correlationId: id, token, end}, TIME),
      );
    }
    ended += action.kind === 'ended' ? 1 : 0;
    if (action.kind !== 'call-store') {
      return;
    }
    writes += action.operation.kind === 'read' ? 0 : 1;
    reads += action.operation.kind === 'read' ? 1 : 0;
    version += 1;
    const result = {kind: 'written' as const, version};
    const {call} = action;
    performAll(claims.step({kind: 'store-answered', call, result}, TIME));
  }

  for (let index = 0; index < operations; index += 1) {
    const request = {
      key: {
        workspace: workspaceName('ceoltoiri-eadai-trust'),
        service: serviceName('bookings'),
        idempotencyKey: `key-${index}`,
      },
      request: requestId(`request-${index}`),
      fingerprint: `fingerprint-${index}`,
      remainingMs: 10_000,
    };
    performAll(
      claims.step({kind: 'begin', correlationId: index, request}, TIME),
    );
  }
  if (ended !== operations) {
    throw new Error(
      `${operations - ended} of ${operations} operations did not end`,
    );
  }
  return {operations, writes, reads};
}
