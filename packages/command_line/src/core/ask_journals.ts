/** Asks the journals of the VMs that the profile or the configuration names. */
import {type JournalAnswer, journalAnswerSchema} from '@ibisbeam/library';
import {EitherAsync, Left} from 'purify-ts';
import {readAccepted} from './configuration_access.js';
import type {Errors} from './dependencies.js';
import {
  type PortAddress,
  callPorts,
  knownPorts,
  portsOf,
} from './operator_client.js';
import type {Session} from './session.js';

export interface JournalAnswers {
  readonly answers: readonly JournalAnswer[];
  /** VMs that gave no answer, with the reason. */
  readonly silent: readonly string[];
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
      return portsOf(configured.configuration);
    }
    const known = await liftEither(knownPorts(session));
    return known.map(address => ({address}));
  });
}

/** @param what What a 404 means; VMs that answer so are left out silently. */
export function askJournals(
  session: Session,
  path: string,
  what?: string,
): EitherAsync<Errors, JournalAnswers> {
  return EitherAsync(async ({fromPromise, liftEither}) => {
    const ports = await fromPromise(fleetPorts(session).run());
    const replies = await callPorts(session, ports, {
      path,
      schema: journalAnswerSchema,
      what,
    });
    const answers: JournalAnswer[] = [];
    const silent: string[] = [];
    let refused: Errors | undefined;
    for (const {address, vm, result} of replies) {
      const errors = result.swap().toMaybe().extract();
      result.ifRight(answer => {
        answers.push(answer);
      });
      if (errors?.[0]?.name === 'TokenRefused') {
        refused = errors;
      }
      if (errors?.[0] && errors[0].name !== 'NotFound') {
        silent.push(`${vm ?? address}: ${errors[0].message}`);
      }
    }
    if (refused && answers.length === 0) {
      return liftEither(Left(refused));
    }
    return {answers, silent};
  });
}
