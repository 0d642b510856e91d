/**
 * The claim of one non-idempotent request. A claim that is granted after the
 * exchange has abandoned it is ended as not run.
 */
import type {ClaimDecision, ClaimEnd} from '@ibisbeam/decision';
import type {TaskContext} from '../../core/kernel/index.js';
import type {ValidatedRequest} from './request_validator.js';

export interface ClaimGuard {
  /** While the claim is held, later calls return the same decision. */
  begin(): Promise<ClaimDecision>;
  /** Resolves once recording the end has succeeded or failed. */
  end(end: ClaimEnd): Promise<void>;
  /** Ends claims that are granted from now on as not run. */
  abandon(): void;
  /** Whether the claim was granted and not ended since. */
  readonly isHeld: () => boolean;
}

export function createClaimGuard(
  context: Pick<TaskContext, 'post' | 'ask' | 'timers'>,
  request: ValidatedRequest,
): ClaimGuard {
  const {timers} = context;
  let token: string | undefined;
  let abandoned = false;

  function releaseUnused(granted: string): void {
    context.post('claims', {
      kind: 'end',
      token: granted,
      end: {kind: 'not-run'},
      reply: () => {},
    });
  }

  function onDecision(decision: ClaimDecision): void {
    if (decision.kind !== 'run') {
      return;
    }
    if (abandoned) {
      releaseUnused(decision.token);
      return;
    }
    token = decision.token;
  }

  function requestClaim(): Promise<ClaimDecision> {
    const {metadata} = request;
    return new Promise(resolve => {
      context.post('claims', {
        kind: 'begin',
        request: {
          key: {
            workspace: metadata.workspace,
            service: metadata.service,
            idempotencyKey: request.idempotencyKey ?? '',
          },
          request: metadata.id,
          fingerprint: metadata.fingerprint,
          remainingMs: Math.max(0, metadata.deadlineMs - timers.nowMs()),
          firstAttempt: request.firstAttempt,
        },
        reply: decision => {
          onDecision(decision);
          resolve(decision);
        },
      });
    });
  }

  return {
    begin: () =>
      token === undefined
        ? requestClaim()
        : Promise.resolve({kind: 'run', token}),
    end: async end => {
      if (token === undefined) {
        return;
      }
      const endedToken = token;
      token = undefined;
      await context.ask<'claims', {readonly recorded: boolean}>(
        'claims',
        reply => ({kind: 'end', token: endedToken, end, reply}),
      );
    },
    abandon: () => {
      abandoned = true;
    },
    isHeld: () => token !== undefined,
  };
}
