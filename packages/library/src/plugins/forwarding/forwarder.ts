/**
 * The forwarding task: drives the steering state machine with events and
 * carries out its actions. It owns the caller port and the connections to
 * targets.
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
  refusalStatus,
  writeRefusal,
} from '../../core/http/index.js';
import type {Task, TaskContext} from '../../core/kernel/index.js';
import type {TaskMessages, VmEvent} from '../../core/messages/index.js';
import type {TimerHandle} from '../../core/timers/index.js';
import {createAgents} from './agents.js';
import {createCallerServer} from './caller_server.js';
import {
  type ConfigurationView,
  createConfigurationView,
} from './configuration_view.js';
import {earlyRecord} from './early_refusal.js';
import {createExchange} from './exchange.js';
import type {Exchange} from './exchange_types.js';
import {createSteeringDriver} from './steering_driver.js';
import {createHealthPoller} from './health_poller.js';
import {type Intake, type IntakeRefusal, createIntake} from './intake.js';
import {runPlannedStop} from './planned_stop.js';
import {createRelayTokens} from './relay_tokens.js';
import {createAttemptSender} from './sender.js';
import {createTicketRoute} from './ticket_route.js';
import {createRequestReporter} from './request_reporter.js';

const OVERLOAD_RETRY_MS = 1_000;
const GAUGE_INTERVAL_MS = 10_000;

export interface ForwardingDependencies {
  readonly routes: CallerRoutes;
  /** Another steering state machine, for tests of the parts around it. */
  readonly createSteering?: (context: TaskContext) => Steering;
  /** Shared with the look-up, so that sections are parsed once. */
  readonly blockTables: BlockTableBuilder;
}

export function createForwarder(
  context: TaskContext,
  dependencies: ForwardingDependencies,
): Task<'forwarding'> {
  const {settings, timers, metrics, logger} = context;
  const driver = createSteeringDriver(
    context,
    (dependencies.createSteering ?? ownSteering)(context),
    id => exchanges.get(id),
  );
  const {step} = driver;
  const agents = createAgents();
  const intake = createIntake(context);
  const reporter = createRequestReporter(context);
  const exchanges = new Map<RequestId, Exchange>();
  let view: ConfigurationView | undefined;
  let stopping = false;
  let reading = 0;
  let lastDuplicate = 0;
  let callerAddress = '';
  let gauges: TimerHandle | undefined;

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
    return take(req, res);
  }

  async function take(
    request: Context['req'],
    response: ServerResponse,
  ): Promise<void> {
    if (exchanges.size + reading >= settings.requests.maximumInFlight) {
      refuseEarly(response, {
        refusal: {
          reason: 'overloaded',
          outcome: 'not-run',
          retryAfterMs: OVERLOAD_RETRY_MS,
        },
      });
      return;
    }
    reading += 1;
    const read = await intake.read(request, view).finally(() => {
      reading -= 1;
    });
    read.caseOf({
      Left: refusal => refuseEarly(response, refusal),
      Right: taken => admit(withOwnIdentifier(taken), response),
    });
  }

  /** Two requests in flight may state the same identifier. */
  function withOwnIdentifier(taken: Intake): Intake {
    if (!exchanges.has(taken.facts.id)) {
      return taken;
    }
    lastDuplicate += 1;
    const id = `${taken.facts.id}:${lastDuplicate}` as RequestId;
    return {...taken, facts: {...taken.facts, id}};
  }

  function admit(taken: Intake, response: ServerResponse): void {
    const {id} = taken.facts;
    if (response.destroyed) {
      return;
    }
    const exchange = createExchange(taken, response, {
      context,
      sender,
      step,
      finished: record => {
        exchanges.delete(id);
        finished(record);
      },
    });
    exchanges.set(id, exchange);
    step({kind: 'request-arrived', request: taken.facts});
  }

  function finished(record: RequestRecord): void {
    context.publish({kind: 'request-finished', record});
    reporter.finished(record);
  }

  function refuseEarly(response: ServerResponse, refused: IntakeRefusal): void {
    reporter.refusedEarly(refused);
    const record = earlyRecord(refused, timers.wallMs());
    if (record) {
      context.publish({kind: 'request-finished', record});
    }
    if (response.destroyed) {
      return;
    }
    const extra = extraHeaders(refused.refusal);
    writeRefusal(response, refused.refusal, refused.request, extra);
  }

  function takeConfiguration(configuration: Configuration): void {
    view = createConfigurationView(
      configuration,
      dependencies.blockTables.build(configuration.clientBlocks),
    );
    step({kind: 'configuration-accepted', configuration});
    agents.retain(addressesOf(configuration));
    pollOwnTargets(configuration);
  }

  function pollOwnTargets(configuration: Configuration): void {
    const held = new Set<string>();
    for (const pool of driver.status().pools) {
      if (pool.ownedSlots > 0) {
        held.add(pool.service);
      }
    }
    const targets: Target[] = [];
    for (const {service, target} of configuration.targets.values()) {
      if (target.region === settings.vm.region && held.has(service)) {
        targets.push(target);
      }
    }
    poller.setTargets(targets);
  }

  function takePeerMessage(
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
        takeConfiguration(event.configuration);
        return;
      case 'freshness-changed':
        step({kind: 'freshness-changed', fresh: event.fresh});
        return;
      case 'membership-changed':
        step({kind: 'membership-changed', view: event.view});
        return;
      case 'peer-message':
        takePeerMessage(event);
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
    gauges = timers.every(GAUGE_INTERVAL_MS, () =>
      metrics.emit({
        kind: 'gauge',
        name: 'request.in_flight',
        value: exchanges.size,
      }),
    );
  }

  async function stop(): Promise<void> {
    await runPlannedStop(context, {
      inFlight: () => exchanges.size + reading,
      closeDoors: () => {
        stopping = true;
        server.close();
      },
      cut: () => {
        for (const exchange of exchanges.values()) {
          exchange.cut();
        }
        server.cut();
      },
    });
    gauges?.cancel();
    driver.stop();
    poller.stop();
    agents.close();
  }

  return {start, stop, observe, receive};
}

function ownSteering(context: TaskContext): Steering {
  const {id, region, zone} = context.settings.vm;
  const {random, incarnation} = context;
  return createSteering({vm: id, region, zone, random, incarnation});
}

function extraHeaders(refusal: Refusal): Record<string, string> {
  const headers: Record<string, string> = {};
  if (refusal.reason === 'unauthenticated') {
    headers['www-authenticate'] = 'Bearer';
  }
  if (refusalStatus(refusal) === 413) {
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
