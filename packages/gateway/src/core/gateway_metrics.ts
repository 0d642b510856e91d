/** Prometheus metrics of a gateway. */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {FinishedRequest} from '../forwarding/context.js';
import type {InputFault, InputSource} from './input_faults.js';
import type {TrafficContent, TrafficDistance} from '../traffic_meter.js';

export interface GatewayMetrics {
  recordRequest(request: FinishedRequest): void;
  recordAttempt(service: string, outcome: string): void;
  /** Counts a request passed on to a peer VM. */
  recordRelay(service: string, outcome: string): void;
  /** Counts a request sent to a target that states a rate limit. */
  countLimitedSend(service: string): void;
  /** Counts a request of a workspace with a quota. */
  countQuotaDecision(decision: 'admitted' | 'refused'): void;
  /** Counts a new connection to a target, or an attempt to make one. */
  countTargetConnection(outcome: 'made' | 'failed'): void;
  /** Counts bytes exchanged with peers and targets. */
  countTraffic(
    content: TrafficContent,
    distance: TrafficDistance,
    bytes: number,
  ): void;
  /** Counts input that is read no further. */
  countRefusedInput(source: InputSource, fault: InputFault): void;
  /** @param delayMs How late the event loop ran a timer. */
  recordEventLoopDelay(delayMs: number): void;
  /** @param read Called on each scrape. */
  registerGauge(name: string, help: string, read: () => number): void;
  /** @param spanMs How long connections waited to be accepted. */
  recordAcceptBacklog(spanMs: number): void;
  /** All metrics in the Prometheus text format. */
  text(): Promise<string>;
}

/** Dense around the latency objectives of routes, 150 to 2,067 ms. */
const LATENCY_BUCKETS_SECONDS = [
  0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.4, 0.6, 0.8, 1, 1.5, 2, 3, 5, 10,
];
const DELAY_BUCKETS_SECONDS = [0.01, 0.05, 0.1, 0.2, 0.5, 1, 2];
const MILLISECONDS_PER_SECOND = 1_000;

export function createGatewayMetrics(): GatewayMetrics {
  const registry = new Registry();
  const registers = [registry];
  const requests = new Counter({
    name: 'ibisbeam_requests_total',
    help: 'Requests of clients that have ended, by outcome and status.',
    labelNames: ['service', 'outcome', 'status'] as const,
    registers,
  });
  const latency = new Histogram({
    name: 'ibisbeam_request_duration_seconds',
    help: 'Time from the arrival of a request to its final answer.',
    labelNames: ['service'] as const,
    buckets: LATENCY_BUCKETS_SECONDS,
    registers,
  });
  const attempts = new Counter({
    name: 'ibisbeam_attempts_total',
    help: 'Attempts at targets that have ended, by outcome.',
    labelNames: ['service', 'outcome'] as const,
    registers,
  });
  const relays = new Counter({
    name: 'ibisbeam_relayed_requests_total',
    help: 'Requests passed on to a peer VM that have ended, by outcome.',
    labelNames: ['service', 'outcome'] as const,
    registers,
  });
  const limitedSends = new Counter({
    name: 'ibisbeam_limited_sends_total',
    help: 'Requests sent to targets while they state a rate limit.',
    labelNames: ['service'] as const,
    registers,
  });
  const quotaDecisions = new Counter({
    name: 'ibisbeam_quota_decisions_total',
    help: 'Requests of workspaces with a quota, by whether it had room.',
    labelNames: ['decision'] as const,
    registers,
  });
  const targetConnections = new Counter({
    name: 'ibisbeam_target_connections_total',
    help: 'New connections to targets, by outcome.',
    labelNames: ['outcome'] as const,
    registers,
  });

  const traffic = new Counter({
    name: 'ibisbeam_traffic_bytes_total',
    help: 'Bytes of messages to peers and of bodies to and from targets.',
    labelNames: ['content', 'distance'] as const,
    registers,
  });

  const refusedInput = new Counter({
    name: 'ibisbeam_refused_input_total',
    help: 'Messages and answers that were read no further, by sender and fault.',
    labelNames: ['source', 'fault'] as const,
    registers,
  });

  const eventLoopDelay = new Histogram({
    name: 'ibisbeam_event_loop_delay_seconds',
    help: 'How late the event loop runs timers, sampled 20 times a second.',
    buckets: DELAY_BUCKETS_SECONDS,
    registers,
  });
  const acceptBacklog = new Histogram({
    name: 'ibisbeam_accept_backlog_seconds',
    help: 'Spans in which every event loop turn found a connection to accept.',
    buckets: DELAY_BUCKETS_SECONDS,
    registers,
  });

  return {
    recordRequest: ({service, outcome, status, tookMs}) => {
      requests.inc({service, outcome, status});
      latency.observe({service}, tookMs / MILLISECONDS_PER_SECOND);
    },
    recordAttempt: (service, outcome) => attempts.inc({service, outcome}),
    recordRelay: (service, outcome) => relays.inc({service, outcome}),
    countLimitedSend: service => limitedSends.inc({service}),
    countQuotaDecision: decision => quotaDecisions.inc({decision}),
    countTargetConnection: outcome => targetConnections.inc({outcome}),
    countTraffic: (content, distance, bytes) =>
      traffic.inc({content, distance}, bytes),
    countRefusedInput: (source, fault) => refusedInput.inc({source, fault}),
    recordEventLoopDelay: delayMs =>
      eventLoopDelay.observe(delayMs / MILLISECONDS_PER_SECOND),
    recordAcceptBacklog: spanMs =>
      acceptBacklog.observe(spanMs / MILLISECONDS_PER_SECOND),
    registerGauge: (name, help, read) => {
      const gauge: Gauge = new Gauge({
        name,
        help,
        registers,
        collect: () => gauge.set(read()),
      });
    },
    text: () => registry.metrics(),
  };
}

/** Read on each scrape. */
export interface GaugeSources {
  /** Number of client requests without a final response. */
  inFlight(): number;
  /** Number of requests and attempts that wait for processor time. */
  scheduledSends(): number;
  configurationVersion(): number | undefined;
  /** Time since the store last answered all of this VM's own watches. */
  storeConfirmationAgeMs(): number | undefined;
  /** Era of the store; undefined before the first answer. */
  storeEra(): number | undefined;
  /** How long the last restore of the store took; undefined without one. */
  storeRestoreMs(): number | undefined;
  /** Age of the oldest change that this VM's copies lack; 0 if none. */
  copiesBehindMs(): number;
  /** Number of live entry VMs, this one included. */
  liveVms(): number;
  /** Number of registered targets. */
  targets(): number;
  /** Number of targets that state a rate limit. */
  limitedTargets(): number;
  /** Whether this VM is cut off from targets that others reach. */
  isCutOff(): boolean;
  /** Number of listed targets that are leaving. */
  leavingTargets(): number;
  /** Number of targets that want no requests of this VM for a while. */
  pausingTargets(): number;
  /** Number of runs whose attempts have ended and whose end is not known. */
  unsettledRuns(): number;
  /** Bytes of bodies of requests that have no answer yet. */
  heldBodyBytes(): number;
  /** Bytes held for callers: bodies, and answers that have not left. */
  heldBytes(): number;
  /** Used part of the heap that the process may have, 0 to 1. */
  heapUsedFraction(): number;
  /** Number of requests that are not begun before their turn. */
  waitingForTurn(): number;
}

/** Reported while a value is not known. */
const UNKNOWN_VALUE = -1;

export function registerGauges(
  metrics: GatewayMetrics,
  sources: GaugeSources,
): void {
  metrics.registerGauge(
    'ibisbeam_requests_in_flight',
    'Requests that have no answer yet.',
    sources.inFlight,
  );
  metrics.registerGauge(
    'ibisbeam_scheduled_sends',
    'Requests and attempts that wait for processor time.',
    sources.scheduledSends,
  );
  metrics.registerGauge(
    'ibisbeam_configuration_version',
    'Version of the configuration in force; -1 before the first.',
    () => sources.configurationVersion() ?? UNKNOWN_VALUE,
  );
  metrics.registerGauge(
    'ibisbeam_store_confirmed_age_seconds',
    'Age of this VM’s own newest look at the store; -1 if it never looked.',
    () => {
      const ageMs = sources.storeConfirmationAgeMs();
      return ageMs === undefined
        ? UNKNOWN_VALUE
        : ageMs / MILLISECONDS_PER_SECOND;
    },
  );
  metrics.registerGauge(
    'ibisbeam_store_era',
    'Era of the store, which rises when it comes back from an older copy; -1 before the first answer.',
    () => sources.storeEra() ?? UNKNOWN_VALUE,
  );
  metrics.registerGauge(
    'ibisbeam_store_restore_seconds',
    'Time until everything was known in the store’s new era; -1 without a restore.',
    () => {
      const restoreMs = sources.storeRestoreMs();
      return restoreMs === undefined
        ? UNKNOWN_VALUE
        : restoreMs / MILLISECONDS_PER_SECOND;
    },
  );
  metrics.registerGauge(
    'ibisbeam_copies_behind_seconds',
    'Age of the oldest change of the store that peers have and this VM lacks; 0 if none.',
    () => sources.copiesBehindMs() / MILLISECONDS_PER_SECOND,
  );
  metrics.registerGauge(
    'ibisbeam_peers_living',
    'Entry VMs heard of lately, this one included.',
    sources.liveVms,
  );
  metrics.registerGauge('ibisbeam_targets', 'Targets listed.', sources.targets);
  metrics.registerGauge(
    'ibisbeam_limited_targets',
    'Targets that state a rate limit.',
    sources.limitedTargets,
  );
  metrics.registerGauge(
    'ibisbeam_cut_off',
    '1 while this VM reaches no target and other VMs do.',
    () => (sources.isCutOff() ? 1 : 0),
  );
  metrics.registerGauge(
    'ibisbeam_targets_leaving',
    'Listed targets that are leaving and get no new requests.',
    sources.leavingTargets,
  );
  metrics.registerGauge(
    'ibisbeam_targets_pausing',
    'Targets that asked this VM for a pause and get no requests.',
    sources.pausingTargets,
  );
  metrics.registerGauge(
    'ibisbeam_unsettled_runs',
    'Ended attempts whose targets have neither outlived nor died of them.',
    sources.unsettledRuns,
  );
  metrics.registerGauge(
    'ibisbeam_held_body_bytes',
    'Bytes of request bodies that are kept until the answer.',
    sources.heldBodyBytes,
  );
  metrics.registerGauge(
    'ibisbeam_held_bytes',
    'Bytes that are held for callers: bodies, and answers that have not left.',
    sources.heldBytes,
  );
  metrics.registerGauge(
    'ibisbeam_heap_used_ratio',
    'Used part of the heap that the process may have; it ends at 1.',
    sources.heapUsedFraction,
  );
  metrics.registerGauge(
    'ibisbeam_requests_waiting_for_turn',
    'Requests behind others on their connection that wait for memory.',
    sources.waitingForTurn,
  );
}
