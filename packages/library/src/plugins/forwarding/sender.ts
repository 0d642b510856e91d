/** Sends attempts to targets, or to the entry VM that relays them. */
import type {
  AttemptDestination,
  SteeringAction,
  TargetId,
} from '@ibisbeam/decision';
import {assertNever} from '@ibisbeam/decision';
import {
  CALLING_TEAM_HEADER,
  CLIENT_HEADER,
  DEADLINE_HEADER,
  type HeaderValue,
  LEAVING_HEADER,
  OUTCOME_HEADER,
  RELAY_TOKEN_HEADER,
  REQUEST_ID_HEADER,
  WORKSPACE_HEADER,
  endToEndHeaders,
} from '../../core/http/index.js';
import type {TaskContext} from '../../core/kernel/index.js';
import type {Agents} from './agents.js';
import {type Attempt, type AttemptListener, startAttempt} from './attempt.js';
import type {ConfigurationView} from './configuration_view.js';
import type {Intake} from './intake.js';
import type {RelayTokens} from './relay_tokens.js';

/** Connections beyond a target's slots, for attempts that are ending. */
const SPARE_CONNECTIONS = 4;
const RELAY_CONNECTIONS = 256;

/** What the entry VM sets itself or keeps to itself. */
const DROPPED_ALWAYS = [
  'host',
  'content-length',
  'expect',
  REQUEST_ID_HEADER,
  DEADLINE_HEADER,
  RELAY_TOKEN_HEADER,
  CLIENT_HEADER,
  WORKSPACE_HEADER,
  CALLING_TEAM_HEADER,
  OUTCOME_HEADER,
  LEAVING_HEADER,
];
const DROPPED_FOR_RELAYS: ReadonlySet<string> = new Set(DROPPED_ALWAYS);
/** A target never sees the caller's token. */
const DROPPED_FOR_TARGETS: ReadonlySet<string> = new Set([
  ...DROPPED_ALWAYS,
  'authorization',
]);

type SendAction = Extract<SteeringAction, {kind: 'send-attempt'}>;

export interface SendListener extends Omit<AttemptListener, 'leaving'> {
  started(attempt: Attempt): void;
}

export interface AttemptSender {
  /** `finished` is called in every case, also when nothing could be sent. */
  send(intake: Intake, action: SendAction, listener: SendListener): void;
}

export interface AttemptSenderDependencies {
  readonly context: TaskContext;
  readonly agents: Agents;
  readonly relayTokens: RelayTokens;
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
    intake: Intake,
    action: SendAction,
    listener: SendListener,
    relayToken?: string,
  ): void {
    const remainingMs = Math.floor(action.deadlineMs - timers.nowMs());
    if (remainingMs <= 0) {
      listener.finished({kind: 'not-sent', cause: 'the deadline has passed'});
      return;
    }
    const {destination} = action;
    const relay = destination.kind === 'relay';
    const path = relay ? intake.originalPath : intake.targetPath;
    const use = intake.facts.idempotent ? 'kept' : 'fresh';
    const attempt = startAttempt(
      {
        url: `http://${address}${path}`,
        method: intake.method,
        headers: outgoingHeaders(intake, remainingMs, relayToken),
        body: intake.body,
        agent: agents.get(address, use, maximumConnections),
        requestId: intake.requestId,
        connectTimeoutMs: settings.requests.connectTimeoutMs,
        timers,
        relay,
      },
      {
        ...listener,
        leaving: () => noteLeaving(destination),
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

  function noteLeaving(destination: AttemptDestination): void {
    if (destination.kind === 'target') {
      dependencies.targetLeaving(destination.target);
    }
  }

  async function relay(
    address: string,
    intake: Intake,
    action: SendAction,
    listener: SendListener,
  ): Promise<void> {
    const token = await relayTokens.current();
    sendTo(address, RELAY_CONNECTIONS, intake, action, listener, token);
  }

  function send(
    intake: Intake,
    action: SendAction,
    listener: SendListener,
  ): void {
    const {destination} = action;
    const configuration = dependencies.view()?.configuration;
    switch (destination.kind) {
      case 'target': {
        const known = configuration?.targets.get(destination.target);
        if (!known) {
          listener.finished({kind: 'not-sent', cause: 'no such target'});
          return;
        }
        const {address, slots} = known.target;
        sendTo(address, slots + SPARE_CONNECTIONS, intake, action, listener);
        return;
      }
      case 'relay': {
        const vm = configuration?.entryVms.get(destination.vm);
        if (!vm) {
          listener.finished({kind: 'not-sent', cause: 'no such entry VM'});
          return;
        }
        void relay(vm.callerAddress, intake, action, listener);
        return;
      }
      default:
        assertNever(destination);
    }
  }

  return {send};
}

function outgoingHeaders(
  intake: Intake,
  remainingMs: number,
  relayToken: string | undefined,
): Record<string, HeaderValue> {
  const {facts} = intake;
  const isRelay = relayToken !== undefined;
  const dropped = isRelay ? DROPPED_FOR_RELAYS : DROPPED_FOR_TARGETS;
  const headers = endToEndHeaders(intake.headers, dropped);
  headers[REQUEST_ID_HEADER] = intake.requestId;
  headers[DEADLINE_HEADER] = String(remainingMs);
  headers[CLIENT_HEADER] = intake.clientAddress;
  if (intake.body.length > 0) {
    headers['content-length'] = String(intake.body.length);
  }
  if (isRelay) {
    headers[RELAY_TOKEN_HEADER] = relayToken;
    return headers;
  }
  headers[WORKSPACE_HEADER] = facts.workspace;
  headers[CALLING_TEAM_HEADER] = facts.callingTeam;
  return headers;
}
