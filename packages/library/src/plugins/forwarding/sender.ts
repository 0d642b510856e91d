/** Sends attempts to targets, or to entry VMs that relay them. */
import type {
  AttemptDestination,
  SteeringAction,
  TargetId,
} from '@ibisbeam/decision';
import {assertNever} from '@ibisbeam/decision';
import {
  CALLING_TEAM_HEADER,
  CLIENT_ADDRESS_HEADER,
  DEADLINE_HEADER,
  type HeaderValue,
  LEAVING_HEADER,
  OUTCOME_HEADER,
  RELAY_TOKEN_HEADER,
  REQUEST_ID_HEADER,
  WORKSPACE_HEADER,
  selectEndToEndHeaders,
} from '../../core/http/index.js';
import type {TaskContext} from '../../core/kernel/index.js';
import type {AgentPool} from './agents.js';
import {type Attempt, type AttemptListener, startAttempt} from './attempt.js';
import type {ConfigurationView} from './configuration_view.js';
import type {ValidatedRequest} from './request_validator.js';
import type {RelayTokens} from './relay_tokens.js';

/** Connections beyond a target's slots, for attempts that are ending. */
const SPARE_CONNECTIONS = 4;
const MAXIMUM_RELAY_CONNECTIONS = 256;

/** Headers that the entry VM sets itself or never forwards. */
const ALWAYS_DROPPED_HEADERS = [
  'host',
  'content-length',
  'expect',
  REQUEST_ID_HEADER,
  DEADLINE_HEADER,
  RELAY_TOKEN_HEADER,
  CLIENT_ADDRESS_HEADER,
  WORKSPACE_HEADER,
  CALLING_TEAM_HEADER,
  OUTCOME_HEADER,
  LEAVING_HEADER,
];
const RELAY_DROPPED_HEADERS: ReadonlySet<string> = new Set(
  ALWAYS_DROPPED_HEADERS,
);
/** The caller's token is not forwarded to targets. */
const TARGET_DROPPED_HEADERS: ReadonlySet<string> = new Set([
  ...ALWAYS_DROPPED_HEADERS,
  'authorization',
]);

type SendAttemptAction = Extract<SteeringAction, {kind: 'send-attempt'}>;

export interface SendListener extends Omit<AttemptListener, 'leaving'> {
  /** Not called if the attempt cannot be sent. */
  started(attempt: Attempt): void;
}

export interface AttemptSender {
  /** Always calls `finished`, also if nothing could be sent. */
  send(
    request: ValidatedRequest,
    action: SendAttemptAction,
    listener: SendListener,
  ): void;
}

export interface AttemptSenderDependencies {
  readonly context: TaskContext;
  readonly agents: AgentPool;
  readonly relayTokens: RelayTokens;
  /** Returns the configuration in force, if there is one. */
  view(): ConfigurationView | undefined;
  targetLeaving(target: TargetId): void;
}

export function createAttemptSender(
  dependencies: AttemptSenderDependencies,
): AttemptSender {
  const {context, agents, relayTokens} = dependencies;
  const {timers, settings} = context;

  function sendTo(
    address: string,
    maximumConnections: number,
    request: ValidatedRequest,
    action: SendAttemptAction,
    listener: SendListener,
    relayToken?: string,
  ): void {
    const remainingMs = Math.floor(action.deadlineMs - timers.nowMs());
    if (remainingMs <= 0) {
      listener.finished({
        kind: 'not-sent',
        cause: 'deadline expired before sending',
      });
      return;
    }
    const {destination} = action;
    const relay = destination.kind === 'relay';
    const path = relay ? request.originalPath : request.targetPath;
    const use = request.metadata.idempotent ? 'reused' : 'fresh';
    const attempt = startAttempt(
      {
        url: `http://${address}${path}`,
        method: request.method,
        headers: outgoingHeaders(request, remainingMs, relayToken),
        body: request.body,
        agent: agents.get(address, use, maximumConnections),
        requestId: request.requestId,
        connectTimeoutMs: settings.requests.connectTimeoutMs,
        timers,
        relay,
      },
      {
        ...listener,
        leaving: () => reportLeaving(destination),
        finished: result => {
          context.metrics.emit({
            kind: 'count',
            name: 'attempt.finished',
            tags: {result: result.kind, destination: destination.kind},
          });
          listener.finished(result);
        },
      },
    );
    listener.started(attempt);
  }

  function reportLeaving(destination: AttemptDestination): void {
    if (destination.kind === 'target') {
      dependencies.targetLeaving(destination.target);
    }
  }

  async function relay(
    address: string,
    request: ValidatedRequest,
    action: SendAttemptAction,
    listener: SendListener,
  ): Promise<void> {
    const token = await relayTokens.current();
    sendTo(
      address,
      MAXIMUM_RELAY_CONNECTIONS,
      request,
      action,
      listener,
      token,
    );
  }

  function send(
    request: ValidatedRequest,
    action: SendAttemptAction,
    listener: SendListener,
  ): void {
    const {destination} = action;
    const configuration = dependencies.view()?.configuration;
    switch (destination.kind) {
      case 'target': {
        const known = configuration?.targets.get(destination.target);
        if (!known) {
          listener.finished({
            kind: 'not-sent',
            cause: `target ${destination.target} is not in the configuration`,
          });
          return;
        }
        const {address, slots} = known.target;
        sendTo(address, slots + SPARE_CONNECTIONS, request, action, listener);
        return;
      }
      case 'relay': {
        const vm = configuration?.entryVms.get(destination.vm);
        if (!vm) {
          listener.finished({
            kind: 'not-sent',
            cause: `entry VM ${destination.vm} is not in the configuration`,
          });
          return;
        }
        void relay(vm.callerAddress, request, action, listener);
        return;
      }
      default:
        assertNever(destination);
    }
  }

  return {send};
}

function outgoingHeaders(
  request: ValidatedRequest,
  remainingMs: number,
  relayToken: string | undefined,
): Record<string, HeaderValue> {
  const {metadata} = request;
  const isRelay = relayToken !== undefined;
  const dropped = isRelay ? RELAY_DROPPED_HEADERS : TARGET_DROPPED_HEADERS;
  const headers = selectEndToEndHeaders(request.headers, dropped);
  headers[REQUEST_ID_HEADER] = request.requestId;
  headers[DEADLINE_HEADER] = String(remainingMs);
  headers[CLIENT_ADDRESS_HEADER] = request.clientAddress;
  if (request.body.length > 0) {
    headers['content-length'] = String(request.body.length);
  }
  if (isRelay) {
    headers[RELAY_TOKEN_HEADER] = relayToken;
    return headers;
  }
  headers[WORKSPACE_HEADER] = metadata.workspace;
  headers[CALLING_TEAM_HEADER] = metadata.callingTeam;
  return headers;
}
