/** HTTP client of the platform's object API. */
import {Agent} from 'node:http';
import type {RandomSource} from '@ibisbeam/decision';
import got, {type Method, type Response, TimeoutError, RequestError} from 'got';
import {EitherAsync, Left, Right, type Either} from 'purify-ts';
import type {z} from 'zod';
import type {Metrics} from '../metrics/index.js';
import type {TimerService} from '../timers/index.js';
import {limitAnswer} from './answer_limit.js';
import {type CallCounter, createCallCounter} from './call_counter.js';
import {type CircuitBreaker, createCircuitBreaker} from './circuit_breaker.js';
import type {
  ObjectVersion,
  PlatformCallOptions,
  PlatformError,
  PlatformObject,
  PlatformStore,
  PlatformWatchOptions,
} from './types.js';
import {
  conflictSchema,
  platformChangesSchema,
  platformListingSchema,
  platformObjectSchema,
  platformVmsSchema,
} from './wire.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** Time past a watch's `waitMs` before the client times out. */
const WATCH_GRACE_MS = 2_000;

export interface HttpPlatformStoreOptions {
  readonly url: string;
  /** Timeout of calls that set none. */
  readonly callTimeoutMs: number;
  readonly timers: Pick<TimerService, 'nowMs'>;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  /** Bearer token; requests carry no `Authorization` header without it. */
  readonly token?: string;
}

export interface HttpPlatformStore extends PlatformStore {
  readonly counter: CallCounter;
  close(): void;
}

interface PlatformCall<Schema extends z.ZodType> {
  readonly method: Method;
  readonly path: string;
  readonly schema: Schema;
  readonly options: PlatformCallOptions;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
}

export function createHttpPlatformStore(
  options: HttpPlatformStoreOptions,
): HttpPlatformStore {
  const agent = new Agent({keepAlive: true});
  const counter = createCallCounter(options.metrics);
  const circuitBreaker = createCircuitBreaker(options.timers, options.random);
  const client = got.extend({
    prefixUrl: options.url,
    agent: {http: agent},
    retry: {limit: 0},
    throwHttpErrors: false,
    followRedirect: false,
    headers: options.token ? {authorization: `Bearer ${options.token}`} : {},
  });

  function call<Schema extends z.ZodType>(
    request: PlatformCall<Schema>,
  ): EitherAsync<PlatformError, z.output<Schema>> {
    return EitherAsync(async ({liftEither}) => {
      const waitMs = circuitBreaker.acquire();
      if (waitMs !== undefined) {
        const cause = `the previous call failed; next attempt in ${Math.ceil(waitMs)} ms`;
        return liftEither(
          Left({kind: 'unavailable', cause, retryAfterMs: waitMs}),
        );
      }
      const result = await sendRequest(request);
      updateCircuitBreaker(circuitBreaker, result);
      return liftEither(result);
    });
  }

  async function sendRequest<Schema extends z.ZodType>(
    request: PlatformCall<Schema>,
  ): Promise<Either<PlatformError, z.output<Schema>>> {
    const {purpose, timeoutMs} = request.options;
    const sentBytes = Buffer.byteLength(request.body ?? '');
    let refusedFor: () => string | undefined = () => undefined;
    try {
      const pending = client(request.path, {
        method: request.method,
        headers: {
          ...request.headers,
          ...(request.body ? {'content-type': 'application/json'} : {}),
        },
        body: request.body,
        timeout: {
          request: request.timeoutMs ?? timeoutMs ?? options.callTimeoutMs,
        },
        signal: request.signal,
      });
      refusedFor = limitAnswer(pending);
      const response = await pending;
      const receivedBytes = response.rawBody.byteLength;
      const result = readResponse(response, request.schema);
      counter.recordCall(purpose, sentBytes + receivedBytes, result.isLeft());
      return result;
    } catch (error) {
      counter.recordCall(purpose, sentBytes, true);
      const fault = refusedFor();
      const isWrite = request.method !== 'GET';
      return Left(
        fault === undefined
          ? transportError(error, isWrite)
          : {
              kind: isWrite ? 'lost-answer' : 'unavailable',
              cause: `answer refused: ${fault}`,
            },
      );
    }
  }

  function put(
    key: string,
    value: unknown,
    condition: Readonly<Record<string, string>>,
    callOptions: PlatformCallOptions,
  ): EitherAsync<PlatformError, PlatformObject> {
    return call({
      method: 'PUT',
      path: objectPath(key),
      schema: platformObjectSchema,
      options: callOptions,
      headers: condition,
      body: JSON.stringify({value}),
    });
  }

  function watch(
    prefix: string,
    after: ObjectVersion,
    watchOptions: PlatformWatchOptions,
  ) {
    const query = new URLSearchParams({
      prefix,
      after: String(after),
      waitMs: String(watchOptions.waitMs),
    });
    return call({
      method: 'GET',
      path: `v1/changes?${query.toString()}`,
      schema: platformChangesSchema,
      options: watchOptions,
      timeoutMs: watchOptions.waitMs + WATCH_GRACE_MS,
      signal: watchOptions.signal,
    });
  }

  return {
    counter,
    close: () => agent.destroy(),
    read: (key, callOptions) =>
      call({
        method: 'GET',
        path: objectPath(key),
        schema: platformObjectSchema,
        options: callOptions,
      }),
    create: (key, value, callOptions) =>
      put(key, value, {'if-none-match': '*'}, callOptions),
    update: (key, expected, value, callOptions) =>
      put(key, value, {'if-match': String(expected)}, callOptions),
    delete: (key, expected, callOptions) =>
      call({
        method: 'DELETE',
        path: objectPath(key),
        schema: platformObjectSchema.partial(),
        options: callOptions,
        headers: {'if-match': String(expected)},
      }).map(() => undefined),
    list: (prefix, callOptions) =>
      call({
        method: 'GET',
        path: `v1/objects?${new URLSearchParams({prefix}).toString()}`,
        schema: platformListingSchema,
        options: callOptions,
      }),
    watch,
    listVms: callOptions =>
      call({
        method: 'GET',
        path: 'v1/vms',
        schema: platformVmsSchema,
        options: callOptions,
      }).map(answer => answer.vms),
  };
}

function objectPath(key: string): string {
  return `v1/objects/${encodeURIComponent(key)}`;
}

function updateCircuitBreaker(
  circuitBreaker: CircuitBreaker,
  result: Either<PlatformError, unknown>,
): void {
  result
    .ifRight(() => circuitBreaker.recordSuccess())
    .ifLeft(error => {
      if (error.kind === 'unavailable') {
        circuitBreaker.recordFailure(error.retryAfterMs);
        return;
      }
      if (error.kind === 'lost-answer') {
        circuitBreaker.recordFailure();
        return;
      }
      circuitBreaker.recordSuccess();
    });
}

function readResponse<Schema extends z.ZodType>(
  response: Response<string>,
  schema: Schema,
): Either<PlatformError, z.output<Schema>> {
  switch (response.statusCode) {
    case 200:
      return readBody(response, schema);
    case 204:
      return Right({} as z.output<Schema>);
    case 404:
      return Left({kind: 'not-found'});
    case 410:
      return Left({kind: 'watch-gap'});
    case 412:
      return readBody(response, conflictSchema).chain(({current}) =>
        Left({kind: 'conflict', current} as PlatformError),
      );
    case 429:
    case 503:
      return Left({
        kind: 'unavailable',
        cause: `status ${response.statusCode}`,
        retryAfterMs: retryAfterMs(response),
      });
    default:
      return Left(unexpectedStatus(response));
  }
}

/**
 * A 5xx status may come from an intermediary that lost the store's response,
 * so a write may still have taken effect.
 */
function unexpectedStatus(response: Response<string>): PlatformError {
  const cause = `status ${response.statusCode}: ${response.body.slice(0, 200)}`;
  if (response.statusCode >= 500) {
    return {kind: 'lost-answer', cause};
  }
  return {kind: 'rejected', cause};
}

function readBody<Schema extends z.ZodType>(
  response: Response<string>,
  schema: Schema,
): Either<PlatformError, z.output<Schema>> {
  let decoded: unknown;
  try {
    decoded = JSON.parse(response.body);
  } catch {
    return Left({kind: 'lost-answer', cause: 'the response is not valid JSON'});
  }
  const parsed = schema.safeParse(decoded);
  if (!parsed.success) {
    return Left({
      kind: 'lost-answer',
      cause: `the response does not match its schema at "${parsed.error.issues[0]?.path.join('.')}"`,
    });
  }
  return Right(parsed.data);
}

function retryAfterMs(response: Response<string>): number | undefined {
  const seconds = Number(response.headers['retry-after']);
  if (!Number.isFinite(seconds) || seconds < 0) {
    return undefined;
  }
  return seconds * MILLISECONDS_PER_SECOND;
}

/** A write that may have reached the store may have taken effect. */
function transportError(error: unknown, isWrite: boolean): PlatformError {
  const cause = error instanceof Error ? error.message : String(error);
  if (isWrite && !neverReachedStore(error)) {
    return {kind: 'lost-answer', cause};
  }
  return {kind: 'unavailable', cause};
}

function neverReachedStore(error: unknown): boolean {
  if (error instanceof TimeoutError) {
    return error.event === 'connect' || error.event === 'lookup';
  }
  return error instanceof RequestError && error.code === 'ECONNREFUSED';
}
