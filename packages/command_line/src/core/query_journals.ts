/** Queries the journals of all VMs over their operator ports. */
import {type JournalResponse, journalResponseSchema} from '@ibisbeam/library';
import {EitherAsync, Left} from 'purify-ts';
import {readAccepted} from './configuration_access.js';
import type {Errors} from './dependencies.js';
import {
  type PortAddress,
  callPorts,
  configuredPorts,
  operatorPortsOf,
} from './operator_client.js';
import type {Session} from './session.js';

export interface JournalAnswers {
  readonly answers: readonly JournalResponse[];
  /** VMs that gave no valid answer, each as `<VM or address>: <reason>`. */
  readonly unanswered: readonly string[];
}

/**
 * Returns the operator ports of the accepted configuration or, if it cannot be
 * read, those of the flags or the profile.
 */
export function fleetPorts(
  session: Session,
): EitherAsync<Errors, readonly PortAddress[]> {
  return EitherAsync(async ({liftEither}) => {
    const accepted = await readAccepted(session).run();
    const configured = accepted.toMaybe().extract();
    if (configured) {
      return operatorPortsOf(configured.configuration);
    }
    const known = await liftEither(configuredPorts(session));
    return known.map(address => ({address}));
  });
}

/**
 * @param resource What the path names. If given, a VM that answers 404 is left
 *   out of the result; otherwise it counts as unanswered.
 */
export function queryJournals(
  session: Session,
  path: string,
  resource?: string,
): EitherAsync<Errors, JournalAnswers> {
  return EitherAsync(async ({fromPromise, liftEither}) => {
    const ports = await fromPromise(fleetPorts(session).run());
    const replies = await callPorts(session, ports, {
      path,
      schema: journalResponseSchema,
      resource: resource,
    });
    const answers: JournalResponse[] = [];
    const unanswered: string[] = [];
    let refusedErrors: Errors | undefined;
    for (const {address, vm, result} of replies) {
      const errors = result.swap().toMaybe().extract();
      result.ifRight(answer => {
        answers.push(answer);
      });
      if (errors?.[0]?.name === 'TokenRefused') {
        refusedErrors = errors;
      }
      if (errors?.[0] && errors[0].name !== 'NotFound') {
        unanswered.push(`${vm ?? address}: ${errors[0].message}`);
      }
    }
    if (refusedErrors && answers.length === 0) {
      return liftEither(Left(refusedErrors));
    }
    return {answers, unanswered};
  });
}
