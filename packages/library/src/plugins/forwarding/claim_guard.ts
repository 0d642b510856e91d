/**
 * The claim of one non-idempotent request, as the exchange sees it. A claim
 * that is granted after the exchange has given up is handed back as not run.
 */
import type {ClaimDecision, ClaimEnd} from '@ibisbeam/decision';
import type {TaskContext} from '../../core/kernel/index.js';
import type {Intake} from './intake.js';

export interface ClaimGuard {
  /** Decides once; later calls get the same decision while the claim holds. */
  begin(): Promise<ClaimDecision>;
  /** Resolves when the end is recorded, or is known not to be. */
  end(end: ClaimEnd): Promise<void>;
  /** Takes no claim from now on. */
  giveUp(): void;
  readonly held: () => boolean;
}

export function createClaimGuard(
  context: Pick<TaskContext, 'post' | 'ask' | 'timers'>,
  intake: Intake,
): ClaimGuard {
  const {timers} = context;
  let token: string | undefined;
  let givenUp = false;

  function handBack(granted: string): void {
    context.post('claims', {
      kind: 'end',
      token: granted,
      end: {kind: 'not-run'},
      reply: () => {},
    });
  }

  function decided(decision: ClaimDecision): void {
    if (decision.kind !== 'run') {
      return;
    }
    if (givenUp) {
      handBack(decision.token);
      return;
    }
    token = decision.token;
  }

  function ask(): Promise<ClaimDecision> {
    const {facts} = intake;
    return new Promise(resolve => {
      context.post('claims', {
        kind: 'begin',
        request: {
          key: {
            workspace: facts.workspace,
            service: facts.service,
            idempotencyKey: intake.idempotencyKey ?? '',
          },
          request: facts.id,
          fingerprint: facts.fingerprint,
          remainingMs: Math.max(0, facts.deadlineMs - timers.nowMs()),
          firstAttempt: intake.firstAttempt,
        },
        reply: decision => {
          decided(decision);
          resolve(decision);
        },
      });
    });
  }

  return {
    begin: () =>
      token === undefined ? ask() : Promise.resolve({kind: 'run', token}),
    end: async end => {
      if (token === undefined) {
        return;
      }
      const ended = token;
      token = undefined;
      await context.ask<'claims', {readonly recorded: boolean}>(
        'claims',
        reply => ({kind: 'end', token: ended, end, reply}),
      );
    },
    giveUp: () => {
      givenUp = true;
    },
    held: () => token !== undefined,
  };
}
