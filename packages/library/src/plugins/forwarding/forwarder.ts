/**
 * The forwarding task: feeds events to the steering state machine and carries
 * out its actions. It owns the caller port and the connections to targets.
 */
import type {ServerResponse} from 'node:http';
import {
  type BlockTableBuilder,
  type Configuration,
  type RequestId,
  type RequestRecord,
  type Steering,
  type Target,
  assertNever,
  createSteering,
  steeringPeerMessageSchema,
} from '@ibisbeam/decision';
import type {Context} from 'koa';
import {
  type CallerRoutes,
  type Refusal,
  httpStatusOfRefusal,
  writeRefusal,
} from '../../core/http/index.js';
import type {Task, TaskContext} from '../../core/kernel/index.js';
import type {TaskMessages, VmEvent} from '../../core/messages/index.js';
import type {TimerHandle} from '../../core/timers/index.js';
import {createAgentPool} from './agents.js';
import {createCallerServer} from './caller_server.js';
import {
  type ConfigurationView,
  createConfigurationView,
} from './configuration_view.js';
import {buildEarlyRefusalRecord} from './early_refusal.js';
import {createExchange} from './exchange.js';
import type {Exchange} from './exchange_types.js';
import {createSteeringDriver} from './steering_driver.js';
import {createHealthPoller} from './health_poller.js';
import {
  type ValidatedRequest,
  type ValidationRefusal,
  createRequestValidator,
} from './request_validator.js';
import {runGracefulStop} from './graceful_stop.js';
import {createRelayTokens} from './relay_tokens.js';
import {createAttemptSender} from './sender.js';
import {createTicketRoute} from './ticket_route.js';
import {createRequestReporter} from './request_reporter.js';

const OVERLOAD_RETRY_MS = 1_000;
const GAUGE_INTERVAL_MS = 10_000;

export interface ForwardingDependencies {
  readonly routes: CallerRoutes;
  /** Replaces the steering state machine in tests. */
  readonly createSteering?: (context: TaskContext) => Steering;
  /** Shared with the look-up plug-in, so that sections are parsed once. */
  readonly blockTables: BlockTableBuilder;
}

export function createForwardingTask(
  context: TaskContext,
  dependencies: ForwardingDependencies,
): Task<'forwarding'> {
  const {settings, timers, metrics, logger} = context;
  const driver = createSteeringDriver(
    context,
    (dependencies.createSteering ?? createDefaultSteering)(context),
    id => exchanges.get(id),
  );
  const {step} = driver;
  const agents = createAgentPool();
  const validator = createRequestValidator(context);
  const reporter = createRequestReporter(context);
  const exchanges = new Map<RequestId, Exchange>();
  let view: ConfigurationView | undefined;
  let stopping = false;
  let validatingCount = 0;
  let duplicateCount = 0;
  let callerAddress = '';
  let gaugeTimer: TimerHandle | undefined;

  const sender = createAttemptSender({
    context,
    agents,
    relayTokens: createRelayTokens(context),
    view: () => view,
    targetLeaving: target =>
      step({kind: 'target-leaving', target, source: 'refusal'}),
  });
  const poller = createHealthPoller(context, agents, report => {
    step({kind: 'target-reported', report});
    if (report.leaving) {
      const {target} = report;
      step({kind: 'target-leaving', target, source: 'health-answer'});
    }
  });
  const server = createCallerServer(context, dependencies.routes, forward);

  function forward(koaContext: Context): Promise<void> {
    const {req, res} = koaContext;
    koaContext.respond = false;
    if (stopping) {
      res.setHeader('connection', 'close');
    }
    return handle(req, res);
  }

  async function handle(
    request: Context['req'],
    response: ServerResponse,
  ): Promise<void> {
    if (exchanges.size + validatingCount >= settings.requests.maximumInFlight) {
      refuseEarly(response, {
        refusal: {
          reason: 'overloaded',
          outcome: 'not-run',
          retryAfterMs: OVERLOAD_RETRY_MS,
        },
      });
      return;
    }
    validatingCount += 1;
    const result = await validator.validate(request, view).finally(() => {
      validatingCount -= 1;
    });
    result.caseOf({
      Left: refusal => refuseEarly(response, refusal),
      Right: validated => admit(withUniqueId(validated), response),
    });
  }

  /** Callers may state the same ID for several requests in flight. */
  function withUniqueId(request: ValidatedRequest): ValidatedRequest {
    if (!exchanges.has(request.metadata.id)) {
      return request;
    }
    duplicateCount += 1;
    const id = `${request.metadata.id}:${duplicateCount}` as RequestId;
    return {...request, metadata: {...request.metadata, id}};
  }

  function admit(request: ValidatedRequest, response: ServerResponse): void {
    const {id} = request.metadata;
    if (response.destroyed) {
      return;
    }
    const exchange = createExchange(request, response, {
      context,
      sender,
      step,
      finished: record => {
        exchanges.delete(id);
        finished(record);
      },
    });
    exchanges.set(id, exchange);
    step({kind: 'request-arrived', request: request.metadata});
  }

  function finished(record: RequestRecord): void {
    context.publish({kind: 'request-finished', record});
    reporter.finished(record);
  }

  function refuseEarly(
    response: ServerResponse,
    refused: ValidationRefusal,
  ): void {
    reporter.refusedEarly(refused);
    const record = buildEarlyRefusalRecord(refused, timers.wallMs());
    if (record) {
      context.publish({kind: 'request-finished', record});
    }
    if (response.destroyed) {
      return;
    }
    const extra = extraHeaders(refused.refusal);
    writeRefusal(response, refused.refusal, refused.request, extra);
  }

  function applyConfiguration(configuration: Configuration): void {
    view = createConfigurationView(
      configuration,
      dependencies.blockTables.build(configuration.clientBlocks),
    );
    step({kind: 'configuration-accepted', configuration});
    agents.retain(addressesOf(configuration));
    updatePolledTargets(configuration);
  }

  function updatePolledTargets(configuration: Configuration): void {
    const services = new Set<string>();
    for (const pool of driver.status().pools) {
      if (pool.ownedSlots > 0) {
        services.add(pool.service);
      }
    }
    const targets: Target[] = [];
    for (const {service, target} of configuration.targets.values()) {
      if (target.region === settings.vm.region && services.has(service)) {
        targets.push(target);
      }
    }
    poller.setTargets(targets);
  }

  function handlePeerMessage(
    event: Extract<VmEvent, {kind: 'peer-message'}>,
  ): void {
    if (event.channel !== 'steering') {
      return;
    }
    const message = steeringPeerMessageSchema.safeParse(event.body);
    if (!message.success) {
      metrics.emit({
        kind: 'count',
        name: 'peer.rejected',
        tags: {channel: 'steering'},
      });
      logger.log('warn', 'input-refused', {port: 'peer', from: event.from});
      return;
    }
    step({kind: 'peer-message', from: event.from, message: message.data});
  }

  function observe(event: VmEvent): void {
    switch (event.kind) {
      case 'configuration-in-force':
        applyConfiguration(event.configuration);
        return;
      case 'freshness-changed':
        step({kind: 'freshness-changed', fresh: event.fresh});
        return;
      case 'membership-changed':
        step({kind: 'membership-changed', view: event.view});
        return;
      case 'peer-message':
        handlePeerMessage(event);
        return;
      case 'target-leaving-signal':
        step({
          kind: 'target-leaving',
          target: event.target,
          source: event.source,
        });
        return;
      default:
        return;
    }
  }

  function receive(message: TaskMessages['forwarding']): void {
    switch (message.kind) {
      case 'status': {
        message.reply({
          inFlight: exchanges.size,
          stopping,
          steering: driver.status(),
          callerAddress,
        });
        return;
      }
      case 'lift-quarantine': {
        const {fingerprint} = message;
        step({kind: 'quarantine-lifted', fingerprint});
        return;
      }
      default:
        assertNever(message);
    }
  }

  async function start(): Promise<void> {
    dependencies.routes.mount('tickets', createTicketRoute(context));
    callerAddress = await server.listen();
    gaugeTimer = timers.every(GAUGE_INTERVAL_MS, () =>
      metrics.emit({
        kind: 'gauge',
        name: 'request.in_flight',
        value: exchanges.size,
      }),
    );
  }

  async function stop(): Promise<void> {
    await runGracefulStop(context, {
      inFlight: () =>
        Math.max(exchanges.size + validatingCount, server.inFlight()),
      lingering: server.lingering,
      closeListener: () => {
        stopping = true;
        server.close();
      },
      closeIdle: server.closeIdle,
      terminate: () => {
        for (const exchange of exchanges.values()) {
          exchange.abort();
        }
        server.terminate();
      },
    });
    gaugeTimer?.cancel();
    driver.stop();
    poller.stop();
    agents.close();
  }

  return {start, stop, observe, receive};
}

function createDefaultSteering(context: TaskContext): Steering {
  const {id, region, zone} = context.settings.vm;
  const {random, incarnation} = context;
  return createSteering({vm: id, region, zone, random, incarnation});
}

function extraHeaders(refusal: Refusal): Record<string, string> {
  const headers: Record<string, string> = {};
  if (refusal.reason === 'unauthenticated') {
    headers['www-authenticate'] = 'Bearer';
  }
  if (httpStatusOfRefusal(refusal) === 413) {
    headers['connection'] = 'close';
  }
  return headers;
}

function addressesOf(configuration: Configuration): ReadonlySet<string> {
  const addresses = new Set<string>();
  for (const {target} of configuration.targets.values()) {
    addresses.add(target.address);
  }
  for (const vm of configuration.entryVms.values()) {
    addresses.add(vm.callerAddress);
  }
  return addresses;
}
