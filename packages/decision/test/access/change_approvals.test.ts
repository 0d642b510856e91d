import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  type Approval,
  type ApprovalActor,
  type Service,
  changeApprovals,
  indexApprovals,
  isApproved,
  serviceName,
  teamName,
  workspaceName,
} from '../../src/index.js';

const KEY = {
  workspace: workspaceName('lodging'),
  service: serviceName('ledger'),
  callingTeam: teamName('front-desk'),
};
const SERVICE: Service = {
  name: KEY.service,
  owner: teamName('ledger-owners'),
  targets: [],
};
const OWNER: ApprovalActor = {
  kind: 'target-owner',
  name: 'ilze',
  team: SERVICE.owner,
};
const APPROVED: Approval = {...KEY, state: 'approved'};

function change(
  verb: 'request' | 'grant' | 'revoke',
  actor: ApprovalActor,
  approvals: readonly Approval[] = [],
) {
  return changeApprovals(approvals, {verb, key: KEY}, SERVICE, actor, 5);
}

test('a grant by the owner approves the team', () => {
  const after = change('grant', OWNER).unsafeCoerce();
  assert.equal(isApproved(after, KEY), true);
  assert.equal(indexApprovals(after).statusOf(KEY), 'approved');
});

test('a revoked team is not approved', () => {
  const after = change('revoke', OWNER, [APPROVED]).unsafeCoerce();
  assert.equal(after.length, 1);
  assert.equal(isApproved(after, KEY), false);
});

test('an owner of another service may not grant', () => {
  const other = {...OWNER, team: teamName('others')};
  const problem = change('grant', other).swap().unsafeCoerce();
  assert.deepEqual(problem, {kind: 'not-owner', owner: SERVICE.owner});
});

test('an operator may not grant', () => {
  const problem = change('grant', {kind: 'operator', name: 'janis'}).swap();
  assert.equal(problem.unsafeCoerce().kind, 'not-owner');
});

test('a team may request approval for itself only', () => {
  const own: ApprovalActor = {kind: 'calling-team', team: KEY.callingTeam};
  const asked = change('request', own).unsafeCoerce();
  assert.equal(indexApprovals(asked).statusOf(KEY), 'requested');
  assert.equal(isApproved(asked, KEY), false);
  const other: ApprovalActor = {kind: 'calling-team', team: teamName('x')};
  assert.equal(
    change('request', other).swap().unsafeCoerce().kind,
    'not-own-team',
  );
});

test('the status of a team without a request is absent', () => {
  assert.equal(indexApprovals([]).statusOf(KEY), 'absent');
});
