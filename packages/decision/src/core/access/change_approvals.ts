/** Checks and applies changes to the approvals section. */
import {type Either, Left, Right} from 'purify-ts';
import {
  type Approval,
  type Service,
  type TeamName,
  assertNever,
} from '../model/index.js';
import {type ApprovalKey, findApproval} from './approvals.js';

/** The authenticated principal that makes the change. */
export type ApprovalActor =
  | {
      readonly kind: 'target-owner';
      readonly name: string;
      readonly team: TeamName;
    }
  | {readonly kind: 'calling-team'; readonly team: TeamName}
  | {readonly kind: 'operator'; readonly name: string};

export interface ApprovalChange {
  readonly verb: 'request' | 'grant' | 'revoke';
  readonly key: ApprovalKey;
  readonly note?: string;
}

export type ApprovalProblem =
  /** Only the owner of the service may grant and revoke. */
  | {readonly kind: 'not-owner'; readonly owner: TeamName}
  /** A request may come from the calling team or the service's owner only. */
  | {readonly kind: 'not-own-team'; readonly callingTeam: TeamName}
  | {readonly kind: 'already'; readonly state: Approval['state']}
  | {readonly kind: 'nothing-to-revoke'};

/**
 * @param atMs Unix time of the change in milliseconds.
 * @returns The approvals after the change, or why it is not allowed.
 */
export function changeApprovals(
  approvals: readonly Approval[],
  change: ApprovalChange,
  service: Service,
  actor: ApprovalActor,
  atMs: number,
): Either<ApprovalProblem, readonly Approval[]> {
  const problem =
    findPermissionProblem(change, service, actor) ??
    findTransitionProblem(change, findApproval(approvals, change.key));
  if (problem) {
    return Left(problem);
  }
  const changed: Approval = {
    ...change.key,
    state: stateAfter(change.verb),
    decidedBy: describeActor(actor),
    decidedAtMs: atMs,
    note: change.note,
  };
  return Right([...withoutKey(approvals, change.key), changed]);
}

function findPermissionProblem(
  change: ApprovalChange,
  service: Service,
  actor: ApprovalActor,
): ApprovalProblem | undefined {
  const isOwner = actor.kind === 'target-owner' && actor.team === service.owner;
  if (isOwner) {
    return undefined;
  }
  if (change.verb !== 'request') {
    return {kind: 'not-owner', owner: service.owner};
  }
  if (actor.kind !== 'operator' && actor.team === change.key.callingTeam) {
    return undefined;
  }
  return {kind: 'not-own-team', callingTeam: change.key.callingTeam};
}

function findTransitionProblem(
  change: ApprovalChange,
  current: Approval | undefined,
): ApprovalProblem | undefined {
  switch (change.verb) {
    case 'request':
      if (current?.state === 'approved' || current?.state === 'requested') {
        return {kind: 'already', state: current.state};
      }
      return undefined;
    case 'grant':
      if (current?.state === 'approved') {
        return {kind: 'already', state: 'approved'};
      }
      return undefined;
    case 'revoke':
      if (!current) {
        return {kind: 'nothing-to-revoke'};
      }
      if (current.state === 'revoked') {
        return {kind: 'already', state: 'revoked'};
      }
      return undefined;
    default:
      return assertNever(change.verb);
  }
}

function stateAfter(verb: ApprovalChange['verb']): Approval['state'] {
  switch (verb) {
    case 'request':
      return 'requested';
    case 'grant':
      return 'approved';
    case 'revoke':
      return 'revoked';
    default:
      return assertNever(verb);
  }
}

function describeActor(actor: ApprovalActor): string {
  switch (actor.kind) {
    case 'target-owner':
      return `${actor.name} of ${actor.team}`;
    case 'calling-team':
      return actor.team;
    case 'operator':
      return actor.name;
    default:
      return assertNever(actor);
  }
}

function withoutKey(
  approvals: readonly Approval[],
  key: ApprovalKey,
): readonly Approval[] {
  return approvals.filter(
    approval =>
      approval.workspace !== key.workspace ||
      approval.service !== key.service ||
      approval.callingTeam !== key.callingTeam,
  );
}
