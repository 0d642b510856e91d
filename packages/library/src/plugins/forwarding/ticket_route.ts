/**
 * `POST /v1/tickets` issues an idempotency key that only this incarnation of
 * this VM may run, so that the operation needs no access to the store.
 */
import type {Middleware} from 'koa';
import {extractBearerToken, writeRefusal} from '../../core/http/index.js';
import type {TaskContext} from '../../core/kernel/index.js';

const TICKET_PATH = '/v1/tickets';
const RETRY_AFTER_MS = 1_000;

export function createTicketRoute(
  context: Pick<TaskContext, 'ask' | 'tokenVerifier'>,
): Middleware {
  return async (koaContext, next) => {
    if (koaContext.path !== TICKET_PATH || koaContext.method !== 'POST') {
      await next();
      return;
    }
    const {req, res} = koaContext;
    const caller = await context.tokenVerifier.verify(
      extractBearerToken(req.headers),
      'ibisbeam-caller',
    );
    if (caller.isLeft()) {
      koaContext.respond = false;
      writeRefusal(res, {reason: 'unauthenticated', outcome: 'not-run'});
      return;
    }
    const ticket = await context.ask<'claims', string>('claims', reply => ({
      kind: 'mint-ticket',
      reply,
    }));
    if (ticket === undefined) {
      koaContext.respond = false;
      writeRefusal(res, {
        reason: 'claim-unavailable',
        outcome: 'not-run',
        retryAfterMs: RETRY_AFTER_MS,
      });
      return;
    }
    koaContext.status = 201;
    koaContext.set('cache-control', 'no-store');
    koaContext.body = {idempotencyKey: ticket};
  };
}
