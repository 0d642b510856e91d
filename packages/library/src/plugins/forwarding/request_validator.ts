/** Validates an incoming request, or states why it is refused. */
import {createHash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {
  type RequestMetadata,
  type RequestId,
  type ServiceName,
  type ServicePolicy,
  type TeamName,
  type WorkspaceName,
  assertNever,
  requestIdSchema,
} from '@ibisbeam/decision';
import {type Either, Left, Right} from 'purify-ts';
import type {Principal} from '../../core/access/index.js';
import {
  type BodyError,
  CLIENT_ADDRESS_HEADER,
  DEADLINE_HEADER,
  FIRST_ATTEMPT_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  RELAY_TOKEN_HEADER,
  REQUEST_ID_HEADER,
  type Refusal,
  extractBearerToken,
  readRequestBody,
  firstHeaderValue,
} from '../../core/http/index.js';
import type {TaskContext} from '../../core/kernel/index.js';
import type {ConfigurationView} from './configuration_view.js';

const PATH_PATTERN = /^\/v1\/workspaces\/([^/?]+)\/services\/([^/?]+)(.*)$/;
/** URL parsers resolve dot segments, which could escape the service's path. */
const DOT_SEGMENT_PATTERN = /(?:^|\/)(?:\.|%2e){1,2}(?:[/?]|$)/i;
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;
const DEADLINE_PATTERN = /^-?\d{1,12}$/;
const IPV4_MAPPED_PREFIX = '::ffff:';
const NO_CONFIGURATION_RETRY_MS = 1_000;
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
]);

/** A request that passed all checks and can be routed. */
export interface ValidatedRequest {
  readonly metadata: RequestMetadata;
  /**
   * The ID that the caller and the target see; `metadata.id` differs when
   * another request in flight has the same ID.
   */
  readonly requestId: RequestId;
  readonly policy: ServicePolicy;
  readonly method: string;
  /** Path and query below the service, as sent to the target. */
  readonly targetPath: string;
  /** Path and query as received, for a relay to another entry VM. */
  readonly originalPath: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
  readonly idempotencyKey?: string;
  /** Whether the caller states that it has not sent the key before. */
  readonly firstAttempt: boolean;
  readonly clientAddress: string;
}

/** A refusal, with the identifiers known when it was decided. */
export interface ValidationRefusal {
  readonly refusal: Refusal;
  readonly request?: RequestId;
  readonly workspace?: WorkspaceName;
  readonly service?: ServiceName;
  readonly callingTeam?: TeamName;
}

type Validated<Value> = Either<Refusal, Value>;

interface RequestOrigin {
  readonly callingTeam: TeamName;
  readonly relayedFrom?: RequestMetadata['relayedFrom'];
}

export function createRequestValidator(
  context: Pick<TaskContext, 'timers' | 'tokenVerifier' | 'random'>,
) {
  const {timers, tokenVerifier} = context;
  const requestIdPrefix = randomPrefix(context);
  let lastRequestNumber = 0;

  /** The ID that the caller states, or a new one; undefined if malformed. */
  function requestIdOf(request: IncomingMessage): RequestId | undefined {
    const stated = firstHeaderValue(request.headers, REQUEST_ID_HEADER);
    if (stated === undefined) {
      lastRequestNumber += 1;
      return `${requestIdPrefix}-${lastRequestNumber}` as RequestId;
    }
    const parsed = requestIdSchema.safeParse(stated);
    return parsed.success ? parsed.data : undefined;
  }

  async function authenticate(
    request: IncomingMessage,
  ): Promise<Validated<RequestOrigin>> {
    const caller = await tokenVerifier.verify(
      extractBearerToken(request.headers),
      'ibisbeam-caller',
    );
    const team = caller.toMaybe().extractNullable();
    if (team?.kind !== 'calling-team') {
      return Left(unauthenticated('a token of a calling team is needed'));
    }
    const relayToken = firstHeaderValue(request.headers, RELAY_TOKEN_HEADER);
    if (relayToken === undefined) {
      return Right({callingTeam: team.team});
    }
    const relay = await tokenVerifier.verify(relayToken, 'ibisbeam-peer');
    const vm: Principal | null = relay.toMaybe().extractNullable();
    if (vm?.kind !== 'vm') {
      return Left(unauthenticated('the relay token is not valid'));
    }
    return Right({
      callingTeam: team.team,
      relayedFrom: {vm: vm.vm, region: vm.region},
    });
  }

  function deadlineOf(
    request: IncomingMessage,
    policy: ServicePolicy,
    startedAtMs: number,
  ): Validated<number> {
    const stated = firstHeaderValue(request.headers, DEADLINE_HEADER);
    if (stated === undefined) {
      return Right(startedAtMs + policy.defaultDeadlineMs);
    }
    if (!DEADLINE_PATTERN.test(stated)) {
      return Left(malformed(`${DEADLINE_HEADER} is not a whole number`));
    }
    const remainingMs = Number(stated);
    if (remainingMs <= 0) {
      return Left({reason: 'deadline-expired', outcome: 'not-run'});
    }
    return Right(startedAtMs + Math.min(remainingMs, policy.maximumDeadlineMs));
  }

  async function validate(
    request: IncomingMessage,
    view: ConfigurationView | undefined,
  ): Promise<Either<ValidationRefusal, ValidatedRequest>> {
    const startedAtMs = timers.nowMs();
    const requestId = requestIdOf(request);
    if (!requestId) {
      return Left({refusal: malformed(`${REQUEST_ID_HEADER} is malformed`)});
    }
    const path = parsePath(request.url ?? '');
    if (!path) {
      return Left({request: requestId, refusal: malformed('no such path')});
    }
    if (!view) {
      return Left({
        request: requestId,
        refusal: {
          reason: 'no-configuration',
          outcome: 'not-run',
          retryAfterMs: NO_CONFIGURATION_RETRY_MS,
        },
      });
    }
    const origin = await authenticate(request);
    if (origin.isLeft()) {
      return Left({request: requestId, refusal: origin.extract() as Refusal});
    }
    const {callingTeam, relayedFrom} = origin.extract() as RequestOrigin;
    const workspaceService = view.workspaceService(
      path.workspace,
      path.service,
    );
    if (!workspaceService) {
      const reason = unknownReason(view, path.workspace);
      return Left({
        request: requestId,
        callingTeam,
        refusal: {reason, outcome: 'not-run'},
      });
    }
    const {workspace, service, policy} = workspaceService;
    const identifiers = {request: requestId, workspace, service, callingTeam};
    if (!view.isApproved({workspace, service, callingTeam})) {
      return Left({
        ...identifiers,
        refusal: {reason: 'not-approved', outcome: 'not-run'},
      });
    }
    const idempotencyKey = idempotencyKeyOf(request);
    if (idempotencyKey.isLeft()) {
      return Left({
        ...identifiers,
        refusal: idempotencyKey.extract() as Refusal,
      });
    }
    const deadline = deadlineOf(request, policy, startedAtMs);
    if (deadline.isLeft()) {
      return Left({...identifiers, refusal: deadline.extract() as Refusal});
    }
    const bodyRead = await readRequestBody(request, policy.maximumRequestBytes);
    if (bodyRead.isLeft()) {
      return Left({
        ...identifiers,
        refusal: bodyErrorRefusal(bodyRead.extract() as BodyError),
      });
    }
    const body = bodyRead.extract() as Buffer;
    const method = request.method ?? 'GET';
    const clientAddress = clientAddressOf(request);
    const client = view.clientLocation(clientAddress);
    return Right({
      requestId,
      policy,
      method,
      targetPath: path.rest,
      originalPath: request.url ?? '',
      headers: request.headers,
      body,
      idempotencyKey: idempotencyKey.extract() as string | undefined,
      firstAttempt:
        firstHeaderValue(request.headers, FIRST_ATTEMPT_HEADER) === 'true',
      clientAddress,
      metadata: {
        id: requestId,
        workspace,
        service,
        callingTeam,
        idempotent: IDEMPOTENT_METHODS.has(method),
        fingerprint: fingerprintOf(
          `${method} ${workspace} ${service} ${path.rest}`,
          body,
        ),
        homeRegion: client?.homeRegion,
        cohort: client?.cohort ?? 0,
        deadlineMs: deadline.extract() as number,
        relayedFrom,
      },
    });
  }

  return {validate};
}

export type RequestValidator = ReturnType<typeof createRequestValidator>;

function parsePath(
  url: string,
): {workspace: string; service: string; rest: string} | undefined {
  const match = PATH_PATTERN.exec(url);
  if (!match) {
    return undefined;
  }
  const [, workspace, service, rest] = match as unknown as string[];
  if (DOT_SEGMENT_PATTERN.test(rest!)) {
    return undefined;
  }
  const path = rest!.startsWith('/') ? rest! : `/${rest!}`;
  return {workspace: workspace!, service: service!, rest: path};
}

function idempotencyKeyOf(
  request: IncomingMessage,
): Validated<string | undefined> {
  const key = firstHeaderValue(request.headers, IDEMPOTENCY_KEY_HEADER);
  if (key !== undefined && !IDEMPOTENCY_KEY_PATTERN.test(key)) {
    return Left(malformed('Idempotency-Key: 1 to 255 visible characters'));
  }
  if (key === undefined && !IDEMPOTENT_METHODS.has(request.method ?? 'GET')) {
    return Left({reason: 'idempotency-key-missing', outcome: 'not-run'});
  }
  return Right(key);
}

function unknownReason(
  view: ConfigurationView,
  workspace: string,
): 'unknown-service' | 'unknown-workspace' {
  const known = view.configuration.workspaces.has(workspace as WorkspaceName);
  return known ? 'unknown-service' : 'unknown-workspace';
}

function bodyErrorRefusal(error: BodyError): Refusal {
  switch (error.kind) {
    case 'too-large':
      return {
        reason: 'request-too-large',
        outcome: 'not-run',
        detail: `at most ${error.limitBytes} bytes`,
      };
    case 'short-pieces':
      return malformed('the body comes in too many pieces');
    case 'no-memory':
      return {
        reason: 'overloaded',
        outcome: 'not-run',
        detail: 'no memory for the body',
      };
    case 'truncated':
      return malformed('the body is shorter than announced');
    default:
      return assertNever(error);
  }
}

function malformed(detail: string): Refusal {
  return {reason: 'malformed-request', outcome: 'not-run', detail};
}

function unauthenticated(detail: string): Refusal {
  return {reason: 'unauthenticated', outcome: 'not-run', detail};
}

function clientAddressOf(request: IncomingMessage): string {
  const stated = firstHeaderValue(request.headers, CLIENT_ADDRESS_HEADER);
  const address = stated ?? request.socket.remoteAddress ?? '';
  return address.startsWith(IPV4_MAPPED_PREFIX)
    ? address.slice(IPV4_MAPPED_PREFIX.length)
    : address;
}

function fingerprintOf(operation: string, body: Buffer): string {
  const hash = createHash('sha256').update(operation).update('\n');
  return hash.update(body).digest('base64url');
}

/** Sixteen hexadecimal digits, which keep the request IDs of VMs distinct. */
function randomPrefix(context: Pick<TaskContext, 'random'>): string {
  let text = '';
  for (let part = 0; part < 4; part += 1) {
    text += context.random.below(65_536).toString(16).padStart(4, '0');
  }
  return text;
}
