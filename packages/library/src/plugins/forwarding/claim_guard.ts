/**
 * The claim of one non-idempotent request, as the exchange sees it. A claim
 * that is granted after the exchange has given up is handed back as not run.
 */
import type {ClaimDecision, ClaimEnd} from '@ibisbeam/decision';
import type {TaskContext} from '../../core/kernel/index.js';
import type {ValidatedRequest} from './request_validator.js';

export interface ClaimGuard {
  /** Decides once; later calls get the same decision while the claim holds. */
  begin(): Promise<ClaimDecision>;
  /** Resolves when the end is recorded, or is known not to be. */
  end(end: ClaimEnd): Promise<void>;
  /** Takes no claim from now on. */
  abandon(): void;
  readonly held: () => boolean;
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
          deadlineMs: Math.max(0, metadata.deadlineMs - timers.nowMs()),
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
      const ended = token;
      token = undefined;
      await context.ask<'claims', {readonly recorded: boolean}>(
        'claims',
        reply => ({kind: 'end', token: ended, end, reply}),
      );
    },
    abandon: () => {
      abandoned = true;
    },
    held: () => token !== undefined,
  };
}
