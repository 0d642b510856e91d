/** Implements `approval request`, `approval grant` and `approval revoke`. */
import {
  type ApprovalActor,
  type ApprovalChange,
  type ApprovalProblem,
  type Configuration,
  type Service,
  assertNever,
  changeApprovals,
  serviceNameSchema,
  teamNameSchema,
  workspaceNameSchema,
} from '@ibisbeam/decision';
import {type Principal, createOperatorError} from '@ibisbeam/library';
import {type Either, EitherAsync, Left, Right} from 'purify-ts';
import type {Argv} from 'yargs';
import type {CommandResult} from '../../core/command.js';
import {applyChange, readAccepted} from '../../core/configuration_access.js';
import type {Errors} from '../../core/dependencies.js';
import {buildChangeOutput} from '../../core/describe_change.js';
import {parseName} from '../../core/parse_inputs.js';
import {type Session, describePrincipal} from '../../core/session.js';

export interface ApprovalOptions {
  readonly workspace: string;
  readonly service: string;
  readonly team: string;
  readonly note: string | undefined;
}

export function approvalOptions(builder: Argv): Argv<ApprovalOptions> {
  return builder
    .option('workspace', {
      type: 'string',
      demandOption: true,
      requiresArg: true,
      describe: 'Workspace in which the team wants to send requests',
    })
    .option('service', {
      type: 'string',
      demandOption: true,
      requiresArg: true,
      describe: 'Service that the team wants to call',
    })
    .option('team', {
      type: 'string',
      demandOption: true,
      requiresArg: true,
      describe: 'Calling team',
    })
    .option('note', {
      type: 'string',
      requiresArg: true,
      describe: 'Note for the other party, stored with the approval',
    });
}

export function runApprovalChange(
  session: Session,
  verb: ApprovalChange['verb'],
  options: ApprovalOptions,
): CommandResult {
  return EitherAsync(async ({liftEither, fromPromise}) => {
    const change = await liftEither(readChange(verb, options));
    const principal = await fromPromise(session.principal().run());
    const actor = await liftEither(actorOf(principal, verb));
    const accepted = await fromPromise(readAccepted(session).run());
    const {configuration, stored} = accepted;
    const service = await liftEither(findService(configuration, change));
    const approvals = await liftEither(
      changeApprovals(
        configuration.approvals,
        change,
        service,
        actor,
        session.dependencies.timers.wallMs(),
      ).mapLeft(problem => approvalErrors(problem, change, principal)),
    );
    const summary = `approvals: ${verb} ${options.team} for ${options.workspace}/${options.service}`;
    const outcome = await fromPromise(
      applyChange(session, {
        base: stored,
        sections: new Map([['approvals', {kind: 'approvals', approvals}]]),
        author: describePrincipal(principal),
        summary,
        load: [],
      }).run(),
    );
    return buildChangeOutput(summary, outcome);
  });
}

function readChange(
  verb: ApprovalChange['verb'],
  {workspace, service, team, note}: ApprovalOptions,
): Either<Errors, ApprovalChange> {
  return parseName('--workspace', workspaceNameSchema, workspace).chain(
    workspaceName =>
      parseName('--service', serviceNameSchema, service).chain(serviceName =>
        parseName('--team', teamNameSchema, team).map(callingTeam => ({
          verb,
          key: {
            workspace: workspaceName,
            service: serviceName,
            callingTeam,
          },
          note,
        })),
      ),
  );
}

function actorOf(
  principal: Principal,
  verb: string,
): Either<Errors, ApprovalActor> {
  if (principal.kind === 'vm') {
    return Left([
      createOperatorError('NotAllowed', {
        action: `approval ${verb}`,
        needed: 'a target owner or a calling team',
        found: describePrincipal(principal),
      }),
    ]);
  }
  return Right(principal);
}

function findService(
  configuration: Configuration,
  {key}: ApprovalChange,
): Either<Errors, Service> {
  const where = 'the configuration';
  if (!configuration.workspaces.has(key.workspace)) {
    const what = `workspace ${key.workspace}`;
    return Left([createOperatorError('NotFound', {what, where})]);
  }
  const used = configuration.workspaces.get(key.workspace)?.has(key.service);
  const service = configuration.services.get(key.service);
  if (!service || !used) {
    const what = `service ${key.service} in workspace ${key.workspace}`;
    return Left([createOperatorError('NotFound', {what, where})]);
  }
  return Right(service);
}

function approvalErrors(
  problem: ApprovalProblem,
  {verb, key}: ApprovalChange,
  principal: Principal,
): Errors {
  const what = `${key.callingTeam} for ${key.workspace}/${key.service}`;
  const found = describePrincipal(principal);
  switch (problem.kind) {
    case 'not-owner':
      return [
        createOperatorError('NotAllowed', {
          action: `approval ${verb}`,
          needed: `a target owner of team ${problem.owner}`,
          found,
        }),
      ];
    case 'not-own-team':
      return [
        createOperatorError('NotAllowed', {
          action: `approval ${verb}`,
          needed: `calling team ${problem.callingTeam} or the owner of the service`,
          found,
        }),
      ];
    case 'already':
      return [createOperatorError('AlreadySo', {what, state: problem.state})];
    case 'nothing-to-revoke':
      return [createOperatorError('NotFound', {what, where: 'the approvals'})];
    default:
      return assertNever(problem);
  }
}
