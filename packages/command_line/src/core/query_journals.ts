/** Asks the journals of the VMs that the profile or the configuration names. */
import {type JournalAnswer, journalAnswerSchema} from '@ibisbeam/library';
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
  readonly answers: readonly JournalAnswer[];
  /** VMs that gave no answer, with the reason. */
  readonly unanswered: readonly string[];
}

/**
 * The configuration's VMs are asked as long as the store answers, else those
 * that the profile or the flags name.
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

/** @param resource What a 404 means; VMs that answer so are left out silently. */
export function queryJournals(
  session: Session,
  path: string,
  resource?: string,
): EitherAsync<Errors, JournalAnswers> {
  return EitherAsync(async ({fromPromise, liftEither}) => {
    const ports = await fromPromise(fleetPorts(session).run());
    const replies = await callPorts(session, ports, {
      path,
      schema: journalAnswerSchema,
      resource: resource,
    });
    const answers: JournalAnswer[] = [];
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
