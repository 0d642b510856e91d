/**
 * In-memory model of the claims on non-idempotent operations, shared by all
 * simulated VMs. It is always available and consistent: the bench measures the
 * decisions made on top of claims, not the claim protocol itself.
 */
export type ClaimDecision =
  | {readonly kind: 'run'}
  | {readonly kind: 'in-progress'}
  | {readonly kind: 'replay'; readonly status: number}
  | {readonly kind: 'outcome-unknown'};

type ClaimState =
  | {readonly kind: 'running'}
  | {readonly kind: 'answered'; readonly status: number}
  | {readonly kind: 'unknown'};

export interface ClaimRegistry {
  begin(operation: string): ClaimDecision;
  answered(operation: string, status: number): void;
  /** For an operation that certainly did not run; it can be claimed again. */
  release(operation: string): void;
  unknown(operation: string): void;
}

export function createClaimRegistry(): ClaimRegistry {
  const claims = new Map<string, ClaimState>();

  function begin(operation: string): ClaimDecision {
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
