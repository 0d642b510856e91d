/**
 * Stands in for the claims of non-idempotent operations: one fence for the
 * fleet that knows every claim. It tests the decisions around it, not itself.
 */
export type FenceDecision =
  | {readonly kind: 'run'}
  | {readonly kind: 'in-progress'}
  | {readonly kind: 'replay'; readonly status: number}
  | {readonly kind: 'outcome-unknown'};

type ClaimState =
  | {readonly kind: 'running'}
  | {readonly kind: 'answered'; readonly status: number}
  | {readonly kind: 'unknown'};

export interface ClaimFence {
  begin(operation: string): FenceDecision;
  answered(operation: string, status: number): void;
  /** Provably not run: the operation may be claimed again. */
  release(operation: string): void;
  unknown(operation: string): void;
}

export function createClaimFence(): ClaimFence {
  const claims = new Map<string, ClaimState>();

  function begin(operation: string): FenceDecision {
    const claim = claims.get(operation);
    if (!claim) {
      claims.set(operation, {kind: 'running'});
      return {kind: 'run'};
    }
    switch (claim.kind) {
      case 'running':
        return {kind: 'in-progress'};
      case 'answered':
        return {kind: 'replay', status: claim.status};
      case 'unknown':
        return {kind: 'outcome-unknown'};
    }
  }

  return {
    begin,
    answered: (operation, status) => {
      claims.set(operation, {kind: 'answered', status});
    },
    release: operation => {
      claims.delete(operation);
    },
    unknown: operation => {
      claims.set(operation, {kind: 'unknown'});
    },
  };
}
