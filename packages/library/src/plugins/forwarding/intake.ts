/** Turns an incoming request into checked facts, or says why it is refused. */
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
  CLIENT_HEADER,
  DEADLINE_HEADER,
  FIRST_ATTEMPT_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  RELAY_TOKEN_HEADER,
  REQUEST_ID_HEADER,
  type Refusal,
  bearerToken,
  readBody,
  firstHeaderValue,
} from '../../core/http/index.js';
import type {TaskContext} from '../../core/kernel/index.js';
import type {ConfigurationView} from './configuration_view.js';

const PATH_PATTERN = /^\/v1\/workspaces\/([^/?]+)\/services\/([^/?]+)(.*)$/;
/** A URL parser would resolve these and leave the service's path. */
const DOT_SEGMENT_PATTERN = /(?:^|\/)(?:\.|%2e){1,2}(?:[/?]|$)/i;
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;
const DEADLINE_PATTERN = /^-?\d{1,12}$/;
const MAPPED_ADDRESS_PREFIX = '::ffff:';
const NO_CONFIGURATION_RETRY_MS = 1_000;
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
]);

/** A request that passed every check and may be steered. */
export interface Intake {
  readonly facts: RequestMetadata;
  /** As the caller and the target know it. */
  readonly requestId: RequestId;
  readonly policy: ServicePolicy;
  readonly method: string;
  /** Path and query below the service, as the target gets them. */
  readonly targetPath: string;
  /** Path and query as this VM got them, for a relay. */
  readonly originalPath: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
  readonly idempotencyKey?: string;
  /** The caller states that it never sent the key before. */
  readonly firstAttempt: boolean;
  readonly clientAddress: string;
}

export interface IntakeRefusal {
  readonly refusal: Refusal;
  readonly request?: RequestId;
  readonly workspace?: WorkspaceName;
  readonly service?: ServiceName;
  readonly callingTeam?: TeamName;
}

type Checked<Value> = Either<Refusal, Value>;

interface Senders {
  readonly callingTeam: TeamName;
  readonly relayedFrom?: RequestMetadata['relayedFrom'];
}

export function createIntake(
  context: Pick<TaskContext, 'timers' | 'tokenVerifier' | 'random'>,
) {
  const {timers, tokenVerifier} = context;
  const idPrefix = randomText(context);
  let lastId = 0;

  /** The caller's identifier, a new one, or nothing if it is malformed. */
  function requestIdOf(request: IncomingMessage): RequestId | undefined {
    const stated = firstHeaderValue(request.headers, REQUEST_ID_HEADER);
    if (stated === undefined) {
      lastId += 1;
      return `${idPrefix}-${lastId}` as RequestId;
    }
    const parsed = requestIdSchema.safeParse(stated);
    return parsed.success ? parsed.data : undefined;
  }

  async function senders(request: IncomingMessage): Promise<Checked<Senders>> {
    const caller = await tokenVerifier.verify(
      bearerToken(request.headers),
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
  ): Checked<number> {
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

  async function read(
    request: IncomingMessage,
    view: ConfigurationView | undefined,
  ): Promise<Either<IntakeRefusal, Intake>> {
    const startedAtMs = timers.nowMs();
    const id = requestIdOf(request);
    if (!id) {
      return Left({refusal: malformed(`${REQUEST_ID_HEADER} is malformed`)});
    }
    const path = parsePath(request.url ?? '');
    if (!path) {
      return Left({request: id, refusal: malformed('no such path')});
    }
    if (!view) {
      return Left({
        request: id,
        refusal: {
          reason: 'no-configuration',
          outcome: 'not-run',
          retryAfterMs: NO_CONFIGURATION_RETRY_MS,
        },
      });
    }
    const sent = await senders(request);
    if (sent.isLeft()) {
      return Left({request: id, refusal: sent.extract() as Refusal});
    }
    const {callingTeam, relayedFrom} = sent.extract() as Senders;
    const known = view.workspaceService(path.workspace, path.service);
    if (!known) {
      const reason = unknownReason(view, path.workspace);
      return Left({
        request: id,
        callingTeam,
        refusal: {reason, outcome: 'not-run'},
      });
    }
    const {workspace, service, policy} = known;
    const place = {request: id, workspace, service, callingTeam};
    if (!view.isApproved({workspace, service, callingTeam})) {
      return Left({
        ...place,
        refusal: {reason: 'not-approved', outcome: 'not-run'},
      });
    }
    const idempotencyKey = idempotencyKeyOf(request);
    if (idempotencyKey.isLeft()) {
      return Left({...place, refusal: idempotencyKey.extract() as Refusal});
    }
    const deadline = deadlineOf(request, policy, startedAtMs);
    if (deadline.isLeft()) {
      return Left({...place, refusal: deadline.extract() as Refusal});
    }
    const read = await readBody(request, policy.maximumRequestBytes);
    if (read.isLeft()) {
      return Left({
        ...place,
        refusal: bodyRefusal(read.extract() as BodyError),
      });
    }
    const body = read.extract() as Buffer;
    const method = request.method ?? 'GET';
    const clientAddress = clientAddressOf(request);
    const client = view.clientPlace(clientAddress);
    return Right({
      requestId: id,
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
      facts: {
        id,
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

  return {read};
}

export type IntakeReader = ReturnType<typeof createIntake>;

function parsePath(
  url: string,
): {workspace: string; service: string; rest: string} | undefined {
  const found = PATH_PATTERN.exec(url);
  if (!found) {
    return undefined;
  }
  const [, workspace, service, rest] = found as unknown as string[];
  if (DOT_SEGMENT_PATTERN.test(rest!)) {
    return undefined;
  }
  const path = rest!.startsWith('/') ? rest! : `/${rest!}`;
  return {workspace: workspace!, service: service!, rest: path};
}

function idempotencyKeyOf(
  request: IncomingMessage,
): Checked<string | undefined> {
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

function bodyRefusal(error: BodyError): Refusal {
  switch (error.kind) {
    case 'too-large':
      return {
        reason: 'request-too-large',
        outcome: 'not-run',
        detail: `at most ${error.limitBytes} bytes`,
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
  const stated = firstHeaderValue(request.headers, CLIENT_HEADER);
  const address = stated ?? request.socket.remoteAddress ?? '';
  return address.startsWith(MAPPED_ADDRESS_PREFIX)
    ? address.slice(MAPPED_ADDRESS_PREFIX.length)
    : address;
}

function fingerprintOf(operation: string, body: Buffer): string {
  const hash = createHash('sha256').update(operation).update('\n');
  return hash.update(body).digest('base64url');
}

/** Sixteen hexadecimal digits, so that identifiers of two VMs differ. */
function randomText(context: Pick<TaskContext, 'random'>): string {
  let text = '';
  for (let part = 0; part < 4; part += 1) {
    text += context.random.below(65_536).toString(16).padStart(4, '0');
  }
  return text;
}
