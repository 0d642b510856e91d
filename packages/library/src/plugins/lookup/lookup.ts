/**
 * The look-up task: lists the entry VMs that a client should use, best first,
 * from this VM's memory only.
 */
import {
  type BlockTable,
  type BlockTableBuilder,
  type Configuration,
  type LookupResult,
  type LookupQuery,
  type LookupRefusal,
  type MembershipView,
  type ServiceName,
  type WorkspaceName,
  assertNever,
  createEntryVmDirectory,
} from '@ibisbeam/decision';
import {type Either, Left, Right} from 'purify-ts';
import type {Context, Middleware} from 'koa';
import {
  type CallerRoutes,
  type Refusal,
  extractBearerToken,
  writeRefusal,
} from '../../core/http/index.js';
import type {Task, TaskContext} from '../../core/kernel/index.js';
import type {VmEvent} from '../../core/messages/index.js';

const LOOKUP_PATH = '/v1/entry-vms';
const ROUTE_OWNER = 'lookup';
const RETRY_AFTER_MS = 1_000;
/** Size of the cache of parsed queries; the oldest are evicted first. */
const MAXIMUM_CACHED_QUERIES = 10_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Body of a response; the entry VMs are sorted best first. */
interface LookupResponseBody {
  readonly generation: number;
  readonly lifetimeSeconds: number;
  readonly entryVms: readonly {
    readonly id: string;
    readonly region: string;
    readonly zone: string;
    readonly address: string;
    readonly weight: number;
  }[];
}

export interface LookupDependencies {
  readonly routes: CallerRoutes;
  /** Shared with the forwarding plug-in, so that sections are parsed once. */
  readonly blockTables: BlockTableBuilder;
}

export function createLookupTask(
  context: TaskContext,
  dependencies: LookupDependencies,
): Task<'lookup'> {
  const {settings, timers, metrics, logger} = context;
  const lifetimeSeconds = Math.floor(
    settings.lookup.lifetimeMs / MILLISECONDS_PER_SECOND,
  );
  const cacheControl = `private, max-age=${lifetimeSeconds}`;
  const directory = createEntryVmDirectory(settings.lookup.maximumVms);
  let configuration: Configuration | undefined;
  let blocks: BlockTable | undefined;
  let view: MembershipView | undefined;
  let stopping = false;
  /** Parsed queries by URL and client address, for one configuration. */
  const queries = new Map<string, LookupQuery>();
  /** Serialized responses by the choices that they list. */
  let serializedResponses = new WeakMap<
    LookupResult['choices'],
    {body: string; etag: string}
  >();

  const middleware: Middleware = async (koaContext, next) => {
    if (koaContext.path !== LOOKUP_PATH) {
      await next();
      return;
    }
    koaContext.respond = false;
    await handle(koaContext);
  };

  async function handle(koaContext: Context): Promise<void> {
    const refusal = await checkRequest(koaContext);
    if (refusal) {
      refuse(koaContext, refusal);
      return;
    }
    const result = lookUp(koaContext);
    result.caseOf({
      Left: reason => refuse(koaContext, reason),
      Right: found => respond(koaContext, found),
    });
  }

  async function checkRequest(
    koaContext: Context,
  ): Promise<Refusal | undefined> {
    const {method, headers} = koaContext.req;
    if (method !== 'GET' && method !== 'HEAD') {
      return malformed('only GET and HEAD are answered here');
    }
    const caller = await context.tokenVerifier.verify(
      extractBearerToken(headers),
      'ibisbeam-caller',
    );
    if (caller.isLeft()) {
      return {reason: 'unauthenticated', outcome: 'not-run'};
    }
    return undefined;
  }

  function lookUp(koaContext: Context): Either<Refusal, LookupResult> {
    const {url = '', socket} = koaContext.req;
    const key = `${url} ${socket.remoteAddress}`;
    const cached = queries.get(key);
    if (cached) {
      return directory.answer(cached, timers.wallMs()).mapLeft(refusalOf);
    }
    return readQuery(koaContext).chain(query => {
      cacheQuery(key, query);
      return directory.answer(query, timers.wallMs()).mapLeft(refusalOf);
    });
  }

  function cacheQuery(key: string, query: LookupQuery): void {
    if (queries.size >= MAXIMUM_CACHED_QUERIES) {
      queries.delete(queries.keys().next().value!);
    }
    queries.set(key, query);
  }

  function readQuery(koaContext: Context): Either<Refusal, LookupQuery> {
    const {workspace, service, client} = koaContext.query;
    if (typeof workspace !== 'string' || typeof service !== 'string') {
      return Left(malformed('workspace and service are needed, once each'));
    }
    if (client !== undefined && typeof client !== 'string') {
      return Left(malformed('client stands twice'));
    }
    if (!blocks) {
      return Left(refusalOf('no-configuration'));
    }
    const address = client ?? koaContext.req.socket.remoteAddress ?? '';
    const location = blocks.find(firstAddress(address));
    if (!location) {
      return Left(malformed('client is no IP number and no block'));
    }
    return Right({
      workspace: workspace as WorkspaceName,
      service: service as ServiceName,
      location,
    });
  }

  function respond(koaContext: Context, result: LookupResult): void {
    const {res, req} = koaContext;
    const {body, etag} = serialize(result);
    metrics.emit({kind: 'count', name: 'lookup.answered'});
    const headers = {
      'cache-control': cacheControl,
      etag,
      vary: 'Authorization',
    };
    if (req.headers['if-none-match'] === etag) {
      res.writeHead(304, headers);
      res.end();
      return;
    }
    res.writeHead(200, {
      ...headers,
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    res.end(req.method === 'HEAD' ? undefined : body);
  }

  function serialize(result: LookupResult): {body: string; etag: string} {
    const cached = serializedResponses.get(result.choices);
    if (cached) {
      return cached;
    }
    const body: LookupResponseBody = {
      generation: result.generation,
      lifetimeSeconds,
      entryVms: result.choices.map(({vm, weight}) => ({
        id: vm.id,
        region: vm.region,
        zone: vm.zone,
        address: vm.callerAddress,
        weight,
      })),
    };
    const ids = body.entryVms.map(vm => `${vm.id}/${vm.weight}`).join(',');
    const serialized = {
      body: JSON.stringify(body),
      etag: `"${result.generation}-${ids}"`,
    };
    serializedResponses.set(result.choices, serialized);
    return serialized;
  }

  function refuse(koaContext: Context, refusal: Refusal): void {
    metrics.emit({
      kind: 'count',
      name: 'request.refused',
      tags: {reason: refusal.reason, port: 'lookup'},
    });
    logger.log('debug', 'lookup-refused', {
      reason: refusal.reason,
      detail: refusal.detail,
    });
    writeRefusal(koaContext.res, refusal);
  }

  /** A stopping VM never lists itself, whatever its peers still report. */
  function updateMembership(): void {
    if (!view) {
      return;
    }
    directory.setMembershipView(stopping ? withSelfLeaving(view) : view);
    serializedResponses = new WeakMap();
  }

  function withSelfLeaving(current: MembershipView): MembershipView {
    const vms = new Map(current.vms);
    const self = vms.get(settings.vm.id);
    if (self) {
      vms.set(settings.vm.id, {...self, state: 'leaving'});
    }
    return {...current, vms};
  }

  function observe(event: VmEvent): void {
    switch (event.kind) {
      case 'configuration-in-force':
        configuration = event.configuration;
        queries.clear();
        blocks = dependencies.blockTables.build(configuration.clientBlocks);
        directory.setConfiguration(configuration);
        serializedResponses = new WeakMap();
        return;
      case 'membership-changed':
        view = event.view;
        updateMembership();
        return;
      case 'stop-began':
        stopping = true;
        updateMembership();
        return;
      default:
        return;
    }
  }

  return {
    start: async () => dependencies.routes.mount(ROUTE_OWNER, middleware),
    stop: async () => dependencies.routes.unmount(ROUTE_OWNER),
    observe,
    receive: message =>
      message.reply({
        generation: configuration?.generation,
        blocks: blocks?.blockCount ?? 0,
      }),
  };
}

/** The address itself, or the first address of a block in CIDR notation. */
function firstAddress(client: string): string {
  const slash = client.indexOf('/');
  return slash < 0 ? client : client.slice(0, slash);
}

function malformed(detail: string): Refusal {
  return {reason: 'malformed-request', outcome: 'not-run', detail};
}

function refusalOf(reason: LookupRefusal): Refusal {
  switch (reason) {
    case 'no-configuration':
      return {reason, outcome: 'not-run', retryAfterMs: RETRY_AFTER_MS};
    case 'unknown-workspace':
    case 'unknown-service':
      return {reason, outcome: 'not-run'};
    case 'no-entry-vm':
      return {
        reason: 'no-healthy-target',
        outcome: 'not-run',
        retryAfterMs: RETRY_AFTER_MS,
        detail: 'no entry VM is live',
      };
    default:
      return assertNever(reason);
  }
}
