/** The routes of the operator port. */
import Router from '@koa/router';
import {
  type BurnSummary,
  type RequestId,
  requestIdSchema,
} from '@ibisbeam/decision';
import type {Context} from 'koa';
import type {z} from 'zod';
import type {TaskContext} from '../../core/kernel/index.js';
import type {
  ConfigurationStatus,
  JournalEntry,
} from '../../core/messages/index.js';
import {
  type JournalResponse,
  fingerprintSchema,
  limitParameterSchema,
  sinceParameterSchema,
} from '../../core/operator_interface/index.js';
import {
  type ObservedState,
  buildStatusResponse,
  buildConfigurationResponse,
} from './build_status.js';
import {respondWithProblem} from './problems.js';

const DEFAULT_EVENT_LIMIT = 1_000;
const EXPLANATION_LIMIT = 100;

export function createOperatorRoutes(
  context: TaskContext,
  observed: ObservedState,
): Router {
  const router = new Router();

  router.get('/v1/status', async http => {
    http.body = await buildStatusResponse(context, observed);
  });

  router.get('/v1/configuration', async http => {
    const status = await context.ask<'configuration', ConfigurationStatus>(
      'configuration',
      reply => ({kind: 'status', reply}),
    );
    if (!status) {
      respondWithProblem(http, 'task-silent');
      return;
    }
    http.body = buildConfigurationResponse(context, status);
  });

  router.get('/v1/explain/:requestId', async http => {
    const request = requestIdSchema.safeParse(http['params']['requestId']);
    if (!request.success) {
      respondWithProblem(http, 'malformed-request', 'requestId');
      return;
    }
    const answer = await queryJournal({
      request: request.data,
      limit: EXPLANATION_LIMIT,
    });
    if (answer && answer.entries.length === 0) {
      respondWithProblem(http, 'not-found', 'requestId');
      return;
    }
    respondWithJournal(http, answer);
  });

  router.get('/v1/events', async http => {
    const since = readParameter(http, 'since', sinceParameterSchema, 0);
    const limit = readParameter(
      http,
      'limit',
      limitParameterSchema,
      DEFAULT_EVENT_LIMIT,
    );
    if (since === undefined || limit === undefined) {
      return;
    }
    respondWithJournal(http, await queryJournal({sinceWallMs: since, limit}));
  });

  router.get('/v1/burn', async http => {
    const summary = (await context.ask<'burn', unknown>('burn', reply => ({
      kind: 'summary',
      reply,
    }))) as BurnSummary | undefined;
    if (!summary) {
      respondWithProblem(http, 'task-silent');
      return;
    }
    http.body = summary;
  });

  router.delete('/v1/quarantines/:fingerprint', async http => {
    const parsed = fingerprintSchema.safeParse(http['params']['fingerprint']);
    if (!parsed.success) {
      respondWithProblem(http, 'malformed-request', 'fingerprint');
      return;
    }
    const fingerprint = parsed.data;
    const status = await buildStatusResponse(context, observed);
    const active = status.quarantines.some(
      quarantine => quarantine.fingerprint === fingerprint,
    );
    if (!active) {
      respondWithProblem(http, 'not-found', 'fingerprint');
      return;
    }
    context.post('forwarding', {kind: 'lift-quarantine', fingerprint});
    http.body = {vm: context.settings.vm.id, fingerprint, lifted: true};
  });

  async function queryJournal(query: {
    readonly request?: RequestId;
    readonly sinceWallMs?: number;
    readonly limit: number;
  }): Promise<JournalResponse | undefined> {
    const entries = await context.ask<'journal', readonly JournalEntry[]>(
      'journal',
      reply => ({kind: 'query', ...query, reply}),
    );
    return (
      entries && {
        vm: context.settings.vm.id,
        incarnation: context.incarnation,
        entries: entries.map(({atWallMs, ...rest}) => ({
          atMs: atWallMs,
          ...rest,
        })),
      }
    );
  }

  return router;
}

function respondWithJournal(
  http: Context,
  answer: JournalResponse | undefined,
): void {
  if (!answer) {
    respondWithProblem(http, 'task-silent');
    return;
  }
  http.body = answer;
}

/** Responds with a problem and returns undefined if the value is invalid. */
function readParameter<Schema extends z.ZodType>(
  http: Context,
  name: string,
  schema: Schema,
  defaultValue: z.output<Schema>,
): z.output<Schema> | undefined {
  const value = http.query[name];
  if (value === undefined) {
    return defaultValue;
  }
  const parsed = schema.safeParse(value);
  if (!parsed.success) {
    respondWithProblem(http, 'malformed-request', name);
    return undefined;
  }
  return parsed.data;
}
