/**
 * The HTTP server for clients: reads requests, refuses malformed ones before
 * routing, and starts an exchange for the others.
 */
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
  createServer,
} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {
  type ClientLimits,
  type Route,
  type RouteTable,
  commonHomeRegions,
} from '@ibisbeam/decision';
import {
  type BodyError,
  type ClientAnswer,
  type DecisionScope,
  type RequestBody,
  type UnfinishedConnection,
  announcesBody,
  collectRequestBody,
  createClientConnections,
  discardInput,
  hasValidHeaderNames,
  headerValues,
  isInputDiscarded,
  readAllHeaderLines,
} from '@ibisbeam/library';
import type {InputFault} from '../core/input_faults.js';
import type {HostAndPort} from '../core/settings.js';
import {
  STOPPING_REASON,
  STOPPING_RETRY_AFTER_MS,
  refuse,
} from './response_delivery.js';
import type {AcceptBacklog} from './accept_backlog.js';
import type {ForwardingContext} from './context.js';
import {startExchange} from './exchange.js';
import type {RequestMemory} from './held_memory.js';
import {homeRegionsOf} from './home_regions.js';
import {type ListenerClosure, closeWhenNoneWaits} from './listener_closure.js';
import type {Caller} from '../workspaces/caller_identity.js';

export interface ClientFacingServer {
  listen(): Promise<void>;
  setLimits(limits: ClientLimits): void;
  /** See `ClientConnections`. */
  decideNow(scope: DecisionScope): void;
  /** Closes connections without requests; see `ClientConnections`. */
  closeIdle(): void;
  /** Number of requests whose answer has not left completely. */
  inFlight(): number;
  /** What would be lost if all connections were closed now. */
  unfinished(): readonly UnfinishedConnection[];
  /**
   * Closes idle connections, and the listener once no connection waits to be
   * accepted. What waited is refused with a true "not run". Resolves when all
   * connections are closed.
   */
  close(): Promise<void>;
  /** Whether connections are still accepted, or have not been read yet. */
  isListening(): boolean;
  /** Number of open connections, idle ones included. */
  openConnections(): number;
  /** See `ClientConnections`. */
  lingering(): number;
  /** Closes all connections at once. */
  terminate(): Promise<void>;
}

export interface ClientFacingServerOptions {
  readonly address: HostAndPort;
  readonly context: ForwardingContext;
  readonly acceptBacklog: Pick<AcceptBacklog, 'recordAccept'>;
  /** Undefined until the first configuration has been applied. */
  routes(): RouteTable | undefined;
}

/** A request whose head has been read. */
interface UnroutedRequest {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly answer: ClientAnswer;
  readonly arrivedAtMs: number;
  readonly memory: RequestMemory;
  readonly body: RequestBody;
}

/** A request whose body has not been read yet. */
interface Arrival extends UnroutedRequest {
  /** Those in force when it arrived. */
  readonly routes: RouteTable;
  readonly route: Route;
  readonly caller: Caller;
}

/**
 * Added to the idle timeout, so that the server does not close a connection
 * that a client is about to reuse.
 */
const KEEP_ALIVE_MARGIN_MS = 1_000;
/** Retry-After while there is no configuration or the route has no service. */
const UNCONFIGURED_RETRY_AFTER_MS = 300;
/**
 * A client that takes no byte of an answer for longer gets no more of it. Node.js
 * looks once in this time, so that it takes up to twice as long.
 */
const STALLED_READER_TIMEOUT_MS = 20_000;
/** Interval at which header timeouts are enforced. */
const CONNECTION_CHECK_INTERVAL_MS = 500;
/** Requests of one connection whose answers may be held until their turn. */
const MAXIMUM_UNANSWERED_REQUESTS = 64;
/** Those beyond, in what has been read at once, that are still answered. */
const MAXIMUM_EXCESS_REQUESTS = 64;
/** What node:http keeps of a request until its connection is closed. */
const DROPPED_REQUEST_BYTES = 4_096;
/** The client may send the request again on another connection. */
const UNANSWERED_RETRY_AFTER_MS = 100;
/** Time in which bodies that are held are mostly answered. */
const MEMORY_RETRY_AFTER_MS = 1_000;
/**
 * Assumed of an answer of a route whose answers are unknown or long: the largest
 * that is held, one read more, and what its paused connection holds.
 */
const UNKNOWN_ANSWER_BYTES = 393_216;
/** Head of a request, and what the VM knows of its progress. */
const REQUEST_BYTES = 16_384;
const SHARE_DIGITS = 4;
const EMPTY_BODY = Buffer.alloc(0);
const DEFAULT_LIMITS: ClientLimits = {
  headerBytes: 16_384,
  bodyBytes: 1_048_576,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
};

export function createClientFacingServer(
  options: ClientFacingServerOptions,
): ClientFacingServer {
  const {context} = options;
  let limits = DEFAULT_LIMITS;
  let closure: ListenerClosure | undefined;
  /** Connections that were accepted while the listener was to be closed. */
  const acceptedLate = new WeakSet<Socket>();
  /** Connections of which requests were dropped, with what these count in. */
  const overflowing = new WeakMap<Socket, RequestMemory>();
  // Other VMs serve clients of one that stops or reaches no targets.
  const connections = createClientConnections({
    timers: context.timers,
    closesAfterAnswers: () =>
      context.gracefulStop.phase() !== 'serving' ||
      context.targetReach() === 'cut-off',
  });
  const server: Server = createServer(
    {
      maxHeaderSize: limits.headerBytes,
      requireHostHeader: true,
      noDelay: true,
      keepAliveTimeout: limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS,
      headersTimeout: limits.headerTimeoutMs,
      requestTimeout: 0,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
    },
    onRequest,
  );
  readAllHeaderLines(server);

  function onRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): void {
    if (dropExcess(incoming)) {
      return;
    }
    const answer = connections.recordRequest(incoming, outgoing);
    if (!answer) {
      discardInput(incoming, context.timers);
      return;
    }
    const arrivedAtMs = context.timers.nowMs();
    const memory = context.heldMemory.open(answer);
    const body = collectRequestBody(incoming, {
      memory,
      onError: error => refuseBody(request, error),
    });
    const request: UnroutedRequest = {
      incoming,
      outgoing,
      answer,
      arrivedAtMs,
      memory,
      body,
    };
    answer.onDecisionDue(() => refuseAsStopping(request));
    nameRelayedRequest(incoming, outgoing);
    const malformation = findMalformation(incoming);
    if (malformation) {
      refuseHere(request, 400, malformation, undefined, true);
      return;
    }
    const isLate = acceptedLate.has(incoming.socket);
    if (isLate || !context.gracefulStop.mayBegin(0)) {
      refuseAsStopping(request);
      return;
    }
    const inFlight = connections.inFlightOn(incoming.socket);
    const isExcess = isInputDiscarded(incoming.socket);
    if (isExcess || inFlight > MAXIMUM_UNANSWERED_REQUESTS) {
      discardInput(incoming, context.timers);
      const reason = 'too many requests on the connection';
      refuseHere(request, 503, reason, UNANSWERED_RETRY_AFTER_MS, true);
      return;
    }
    if (!options.routes()) {
      const reason = 'no configuration yet';
      refuseHere(request, 503, reason, UNCONFIGURED_RETRY_AFTER_MS, true);
      return;
    }
    if (refuseWithoutMemory(request)) {
      return;
    }
    context.heldMemory.beginInTurn(request, expectedBytes(incoming), () =>
      begin(request),
    );
  }

  /**
   * Returns whether the request is dropped, as all that come behind it: the last
   * answer of the connection closes it.
   */
  function dropExcess({socket}: IncomingMessage): boolean {
    const inFlight = connections.inFlightOn(socket);
    const maximum = MAXIMUM_UNANSWERED_REQUESTS + MAXIMUM_EXCESS_REQUESTS;
    let memory = overflowing.get(socket);
    if (!memory && inFlight < maximum) {
      return false;
    }
    if (!memory) {
      memory = context.heldMemory.open({
        onEnd: listener => socket.once('close', listener),
      });
      overflowing.set(socket, memory);
      const fault: InputFault = 'many-requests';
      context.log.log('info', 'input-refused', {cause: fault, inFlight});
      context.onRefusedInput('caller', fault);
    }
    memory.add(DROPPED_REQUEST_BYTES);
    if (context.heldMemory.level() === 'full') {
      socket.resetAndDestroy();
    }
    return true;
  }

  function begin(request: UnroutedRequest): void {
    if (request.answer.isDecided() || refuseWithoutMemory(request)) {
      return;
    }
    context.copyGuard.whenUsable(isUsable => {
      const routes = options.routes();
      if (!routes || !isUsable) {
        const reason = 'the configuration may be outdated';
        refuseHere(request, 503, reason, UNCONFIGURED_RETRY_AFTER_MS, true);
        return;
      }
      route(request, routes);
    });
  }

  /** Returns whether the request was refused. */
  function refuseWithoutMemory(request: UnroutedRequest): boolean {
    if (context.heldMemory.level() !== 'full') {
      return false;
    }
    context.log.log('warn', 'memory-refused', {
      heldBytes: context.heldMemory.heldBytes(),
    });
    const close = announcesBody(request.incoming);
    const reason = 'no memory for the request';
    refuseHere(request, 503, reason, MEMORY_RETRY_AFTER_MS, close);
    return true;
  }

  /** What the VM will hold for the request until its answer has left. */
  function expectedBytes(incoming: IncomingMessage): number {
    const route = context.findRoute(incoming);
    const answerBytes = route
      ? context.serviceTimes.responseBytes(route.name)
      : 0;
    return (
      Math.min(announcedBytes(incoming), limits.bodyBytes) +
      (answerBytes || UNKNOWN_ANSWER_BYTES) +
      REQUEST_BYTES
    );
  }

  /** @param closes Closes the connection, on which a body may be unread. */
  function refuseHere(
    {outgoing, answer, body}: UnroutedRequest,
    status: number,
    reason: string,
    retryAfterMs?: number,
    closes = false,
  ): void {
    body.drop();
    answer.write(() => refuse(outgoing, status, reason, retryAfterMs), {
      closes,
    });
  }

  /** Other VMs can take the request at once. */
  function refuseAsStopping(request: UnroutedRequest): void {
    const close = announcesBody(request.incoming);
    refuseHere(request, 503, STOPPING_REASON, STOPPING_RETRY_AFTER_MS, close);
  }

  function route(request: UnroutedRequest, routes: RouteTable): void {
    const {incoming, answer, body} = request;
    if (answer.isDecided()) {
      return;
    }
    const path = incoming.url ?? '/';
    const found = routes.find(incoming.headers.host ?? '', path);
    if (!found) {
      refuseHere(request, 404, 'no route', undefined, announcesBody(incoming));
      return;
    }
    const caller = identifyCaller(request, found);
    if (!caller) {
      return;
    }
    const arrival: Arrival = {...request, routes, route: found, caller};
    if (!announcesBody(incoming)) {
      const isEmpty = incoming.headers['content-length'] === '0';
      forward(arrival, isEmpty ? EMPTY_BODY : undefined);
      return;
    }
    void body
      .read(limits.bodyBytes)
      .then(result => result.ifRight(bytes => forward(arrival, bytes)));
  }

  function refuseBody(request: UnroutedRequest, error: BodyError): void {
    if (request.answer.isDecided()) {
      return;
    }
    switch (error.kind) {
      case 'too-large': {
        recordRefusedBody(request, 'long-body', error.receivedBytes);
        const reason = 'the body is too large';
        refuseHere(request, 413, reason, undefined, true);
        return;
      }
      case 'short-pieces': {
        recordRefusedBody(request, 'short-pieces', error.receivedBytes);
        const reason = 'the body comes in too many pieces';
        refuseHere(request, 400, reason, undefined, true);
        return;
      }
      case 'no-memory': {
        const reason = 'no memory for the body';
        context.log.log('warn', 'body-refused', {
          heldBytes: context.heldMemory.heldBytes(),
        });
        refuseHere(request, 503, reason, MEMORY_RETRY_AFTER_MS, true);
        return;
      }
      case 'truncated':
        return;
    }
  }

  function recordRefusedBody(
    {incoming}: UnroutedRequest,
    fault: InputFault,
    bytes: number,
  ): void {
    const {attemptId} = context.protocol.headers;
    const [request] = headerValues(incoming.rawHeaders, attemptId);
    context.log.log('info', 'input-refused', {request, cause: fault, bytes});
    context.onRefusedInput('caller', fault);
  }

  /** Refuses the request and returns undefined if it has no valid API key. */
  function identifyCaller(
    request: UnroutedRequest,
    route: Route,
  ): Caller | undefined {
    const {incoming} = request;
    const identification = context.callers.identify(incoming, route);
    const close = announcesBody(incoming);
    switch (identification.kind) {
      case 'refused': {
        const {status, reason} = identification;
        context.log.log('info', 'caller-refused', {
          status,
          reason,
          route: route.name,
        });
        const retryAfterMs =
          status === 503 ? UNCONFIGURED_RETRY_AFTER_MS : undefined;
        refuseHere(request, status, reason, retryAfterMs, close);
        return undefined;
      }
      case 'identified': {
        const {caller} = identification;
        if (caller.kind === 'workspace' && context.mayHoldRemovedKeys()) {
          const reason = 'the list of API keys may be outdated';
          refuseHere(request, 503, reason, UNCONFIGURED_RETRY_AFTER_MS, close);
          return undefined;
        }
        if (!commonHomeRegions(route.homeRegions, homeRegionsOf(caller))) {
          const reason = 'the route and the workspace have no home in common';
          refuseHere(request, 403, reason, undefined, close);
          return undefined;
        }
        return caller;
      }
    }
  }

  /** Returns false if the workspace is beyond its quota. */
  function admitByQuota(arrival: Arrival, isReturning: boolean): boolean {
    const {route, caller} = arrival;
    if (caller.kind !== 'workspace') {
      return true;
    }
    const {name} = caller.workspace;
    const decision = context.quotas.admit(name, isReturning);
    switch (decision.kind) {
      case 'admitted':
        return true;
      case 'refused': {
        const {share, retryAfterMs} = decision;
        context.log.log('info', 'quota-exceeded', {
          workspace: name,
          route: route.name,
          share: share.toFixed(SHARE_DIGITS),
          retryAfterMs: Math.round(retryAfterMs),
        });
        const reason = 'the quota of the workspace is used up';
        refuseHere(arrival, 429, reason, retryAfterMs);
        return false;
      }
    }
  }

  /**
   * Sets the attempt identifier in the answer to a relayed request, so that the
   * relaying VM knows for which request this VM refuses. The headers of a
   * target's answer replace it.
   */
  function nameRelayedRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): void {
    const {attemptId, relayedFor} = context.protocol.headers;
    const [value] = headerValues(incoming.rawHeaders, attemptId);
    if (value !== undefined && incoming.headers[relayedFor] !== undefined) {
      outgoing.setHeader(attemptId, value);
    }
  }

  function forward(arrival: Arrival, bytes: Buffer | undefined): void {
    const {incoming, outgoing, answer, arrivedAtMs} = arrival;
    const {routes, route, caller, memory} = arrival;
    if (answer.isDecided()) {
      return;
    }
    const service = routes.nextService(route);
    if (service === undefined) {
      refuseHere(arrival, 503, 'no service', UNCONFIGURED_RETRY_AFTER_MS);
      return;
    }
    const {headers} = context.protocol;
    const [attemptId] = headerValues(incoming.rawHeaders, headers.attemptId);
    const [affinityKey] = headerValues(
      incoming.rawHeaders,
      headers.affinityKey,
    );
    // A client may set this header as well. That only forgoes the relay.
    const [relayedFor] = headerValues(incoming.rawHeaders, headers.relayedFor);
    const isRelayed = relayedFor !== undefined;
    const clientDeadlineMs = clientDeadlineMsOf(incoming, arrivedAtMs);
    // The deadline of a relayed request is not the timeout that a client stated.
    const sinceFirstAttemptMs =
      clientDeadlineMs === undefined || isRelayed
        ? 0
        : context.clientRetryDetector.sinceFirstAttemptMs(
            route.name,
            clientDeadlineMs - arrivedAtMs,
            arrivedAtMs,
          );
    const countsForQuota = isWithKey(caller);
    if (countsForQuota && !admitByQuota(arrival, sinceFirstAttemptMs > 0)) {
      return;
    }
    startExchange(context, {
      incoming,
      outgoing,
      answer,
      route,
      configurationVersion: routes.configuration.version,
      service,
      attemptId,
      caller,
      affinityKey: route.sticky ? affinityKey : undefined,
      body: bytes,
      memory,
      arrivedAtMs,
      clientDeadlineMs,
      sinceFirstAttemptMs,
      countsForQuota,
      isRelayed,
      clientAddress: relayedFor ?? incoming.socket.remoteAddress ?? '',
    });
  }

  function clientDeadlineMsOf(
    incoming: IncomingMessage,
    arrivedAtMs: number,
  ): number | undefined {
    const {deadlineMs} = context.protocol.headers;
    const [text] = headerValues(incoming.rawHeaders, deadlineMs);
    const timeLeftMs = Number(text);
    if (text === undefined || !Number.isFinite(timeLeftMs) || timeLeftMs < 0) {
      return undefined;
    }
    return arrivedAtMs + timeLeftMs;
  }

  server.on('connection', socket => {
    connections.add(socket);
    if (closure) {
      acceptedLate.add(socket);
    }
    options.acceptBacklog.recordAccept();
    // Each pipelined request listens for the end of the connection.
    socket.setMaxListeners(0);
  });
  server.timeout = STALLED_READER_TIMEOUT_MS;
  // Bytes that leave for a slow reader restart the timeout; the wait for an
  // answer has the timeout of its route.
  server.on('timeout', socket => {
    const inFlight = connections.inFlightOn(socket);
    const bytes = socket.writableLength;
    if (bytes > 0) {
      context.log.log('info', 'reader-stalled', {inFlight, bytes});
      socket.resetAndDestroy();
      return;
    }
    if (inFlight > 0) {
      socket.setTimeout(STALLED_READER_TIMEOUT_MS);
      return;
    }
    connections.closeUnused(socket);
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    if (isInputDiscarded(socket)) {
      socket.destroy();
      return;
    }
    context.log.log('info', 'input-refused', {cause: error.code});
    // A client with a pending request would take this for its response.
    const hasUnanswered = connections.inFlightOn(socket) > 0;
    if (socket.writable && !hasUnanswered && error.code !== 'ECONNRESET') {
      const status = STATUS_BY_ERROR[error.code ?? ''] ?? '400 Bad Request';
      connections.closeWith(
        socket,
        `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
      );
      return;
    }
    socket.destroy();
  });

  function setLimits(next: ClientLimits): void {
    limits = next;
    server.keepAliveTimeout = next.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS;
    server.headersTimeout = next.headerTimeoutMs;
    // Node.js reads this property for each new connection.
    Object.assign(server, {maxHeaderSize: next.headerBytes});
  }

  return {
    listen: () =>
      new Promise((resolve, reject) => {
        const {host, port} = options.address;
        server.once('error', reject);
        server.listen(port, host, LISTEN_BACKLOG, () => resolve());
      }),
    setLimits,
    decideNow: connections.decideNow,
    closeIdle: connections.closeIdle,
    inFlight: connections.inFlight,
    unfinished: connections.unfinished,
    openConnections: connections.count,
    lingering: connections.lingering,
    close: () => {
      connections.closeIdle();
      closure = closeWhenNoneWaits(server, context.timers);
      return closure.closed;
    },
    isListening: () => closure?.isUnderWay() ?? server.listening,
    terminate: () =>
      new Promise(resolve => {
        NetServer.prototype.close.call(server, () => resolve());
        connections.terminate();
      }),
  };
}

/** Status code and reason by parser error; other errors get a 400. */
const STATUS_BY_ERROR: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

const LISTEN_BACKLOG = 1_024;

/**
 * Whether this VM has checked the caller's key. If not, a peer has, and has
 * counted the request; a header alone does not tell, since callers may set it.
 */
function isWithKey(caller: Caller): boolean {
  return caller.kind === 'workspace' && caller.keyDigest !== undefined;
}

/** Length of the body, as far as its head tells. */
function announcedBytes(incoming: IncomingMessage): number {
  const bytes = Number(incoming.headers['content-length'] ?? 0);
  return Number.isFinite(bytes) ? bytes : 0;
}

/** What may be written again; the HTTP parser accepts control characters too. */
const PATH_PATTERN = /^[!-~\u0080-\u00ff]*$/;

/**
 * Returns why a request that the HTTP parser accepted cannot be routed, or
 * undefined if it can.
 */
function findMalformation(incoming: IncomingMessage): string | undefined {
  if (headerValues(incoming.rawHeaders, 'host').length !== 1) {
    return 'exactly one Host header is needed';
  }
  if (!hasValidHeaderNames(incoming.rawHeaders)) {
    return 'a header name has characters that are not allowed';
  }
  if (!(incoming.url ?? '').startsWith('/')) {
    return 'the request target must be a path';
  }
  if (!PATH_PATTERN.test(incoming.url ?? '')) {
    return 'the path has characters that are not allowed';
  }
  return undefined;
}
