/** Steps of the demonstration for one user. */
import {
  type RequestRecord,
  compileConfiguration,
  generation,
  teamName,
} from '@ibisbeam/decision';
import type {Logger, TimerService} from '@ibisbeam/library';
import {
  type LocalVm,
  startLocalDeployment,
} from '../core/local_deployment/index.js';
import {printBurn} from './burn.js';
import {type CallerAnswer, createCaller} from './caller.js';
import type {Demonstration} from './demonstration.js';
import type {Reporter} from './reporter.js';
import {createTraceRecorder} from './trace_recorder.js';
import type {DemonstrationScenario} from './scenarios.js';

const READY_TIMEOUT_MS = 20_000;
const READY_POLL_INTERVAL_MS = 50;
const READS_AFTER_DRAIN = 12;
const STOP_LOAD_INTERVAL_MS = 10;
/** Maximum time until a draining target receives no new requests. */
const DRAIN_BOUND_MS = 3_000;

export interface DemonstrationOptions {
  readonly scenario: DemonstrationScenario;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly reporter: Reporter;
}

/** Starts the deployment and waits until look-ups and forwarding succeed. */
export async function startDemonstration(
  options: DemonstrationOptions,
): Promise<Demonstration> {
  const {scenario, timers, logger, reporter} = options;
  const trace = createTraceRecorder(timers);
  const deployment = await startLocalDeployment({
    name: scenario.name,
    entryVmCount: scenario.entryVmCount,
    workerDivisor: scenario.workerDivisor,
    clientBlockCount: 9,
    timers,
    logger,
    seed: 1,
    settings: {
      lookup: {lifetimeMs: 1_000},
      membership: {heartbeatIntervalMs: 200, suspectAfterMs: 2_000},
      stop: {boundMs: 20_000},
    },
    observeTarget: trace.targetEvent,
    hooksOf: vm => ({
      configurationInForce: [
        number => trace.configurationInForce(vm, generation(number)),
      ],
    }),
  });
  await deployment.serving();
  trace.configurationAccepted(generation(1));
  const token = await deployment.keys.token(
    {kind: 'calling-team', team: teamName(scenario.team)},
    'ibisbeam-caller',
  );
  const caller = createCaller({...scenario, token, trace});
  const configuration = compileConfiguration(
    deployment.document,
    generation(1),
  ).unsafeCoerce();
  const demonstration = {
    ...options,
    deployment,
    caller,
    trace,
    configuration,
    token,
  };
  await waitUntilReady(demonstration);
  reporter.heading(
    `${scenario.title}: ${deployment.vms.length} entry VMs, ${deployment.targets.size} targets`,
  );
  for (const {entryVm} of deployment.vms) {
    reporter.event(
      `${entryVm.id} in ${entryVm.region}/${entryVm.zone} at ${entryVm.callerAddress}`,
    );
  }
  return demonstration;
}

export async function runDemonstration(
  demonstration: Demonstration,
): Promise<void> {
  const first = await showLookup(demonstration);
  await showRead(demonstration, first);
  await showBooking(demonstration, first);
  await showPack(demonstration, first);
  await showTargetDrain(demonstration, first);
  await showPlannedStop(demonstration, first);
  await showBookingAfterStop(demonstration);
  await printBurn(demonstration);
  checkInvariants(demonstration);
}

async function waitUntilReady(demonstration: Demonstration): Promise<void> {
  const {caller, deployment, scenario, timers} = demonstration;
  const deadlineMs = timers.nowMs() + READY_TIMEOUT_MS;
  for (const {entryVm} of deployment.vms) {
    while (!(await isServing(entryVm.callerAddress))) {
      if (timers.nowMs() > deadlineMs) {
        throw new Error(
          `${entryVm.id} did not become ready within ${READY_TIMEOUT_MS} ms`,
        );
      }
      await timers.sleep(READY_POLL_INTERVAL_MS);
    }
  }

  async function isServing(address: string): Promise<boolean> {
    try {
      await caller.lookUp(address, scenario.reads.service);
    } catch {
      return false;
    }
    const reads = [scenario.reads, scenario.bookings];
    for (const {service, path} of reads) {
      const {status} = await caller.send(address, {service, path});
      if (status !== 200) {
        return false;
      }
    }
    return true;
  }
}

async function showLookup(demonstration: Demonstration): Promise<LocalVm> {
  const {caller, deployment, scenario, reporter} = demonstration;
  reporter.heading('Look-up: which entry VMs should this client use?');
  const lookupVm = deployment.vms.at(-1)!;
  const answer = await caller.lookUp(
    lookupVm.entryVm.callerAddress,
    scenario.reads.service,
  );
  const vms = answer.entryVms.map(vm => `${vm.id} (weight ${vm.weight})`);
  reporter.event(
    `${lookupVm.entryVm.id} answered ${vms.join(', ')}; generation ${answer.generation}, valid for ${answer.lifetimeSeconds} s`,
  );
  reporter.reason(
    `the home region of ${scenario.clientAddress} is ${scenario.homeRegion}; every VM answers look-ups for all regions from memory`,
  );
  const best = answer.entryVms[0]!;
  const first = deployment.vms.find(vm => vm.entryVm.id === best.id)!;
  reporter.check(
    first.entryVm.region === scenario.homeRegion,
    'the first VM is in the home region',
  );
  return first;
}

async function showRead(
  demonstration: Demonstration,
  vm: LocalVm,
): Promise<void> {
  const {caller, scenario, reporter} = demonstration;
  reporter.heading('A read');
  const answer = await caller.send(vm.entryVm.callerAddress, scenario.reads);
  reporter.event(`${vm.entryVm.id} answered ${answer.status} ${answer.text}`);
  await explain(demonstration, vm, answer);
  reporter.check(answer.status === 200, 'the read was answered');
}

const BOOKING_KEY = 'demonstration-booking-1';

function sendBooking(
  demonstration: Demonstration,
  vm: LocalVm,
): Promise<CallerAnswer> {
  const {caller, scenario} = demonstration;
  return caller.send(vm.entryVm.callerAddress, {
    ...scenario.bookings,
    method: 'POST',
    idempotencyKey: BOOKING_KEY,
  });
}

function bookingRuns(demonstration: Demonstration): number {
  let runs = 0;
  for (const target of demonstration.deployment.targets.values()) {
    runs += target.runsByKey().get(BOOKING_KEY) ?? 0;
  }
  return runs;
}

async function showBooking(
  demonstration: Demonstration,
  vm: LocalVm,
): Promise<void> {
  const {deployment, reporter} = demonstration;
  reporter.heading('A booking, and the same booking again at another VM');
  const booked = await sendBooking(demonstration, vm);
  reporter.event(`${vm.entryVm.id} answered ${booked.status} ${booked.text}`);
  reporter.reason(
    'its Idempotency-Key was claimed in the store before the first byte was sent to a target',
  );
  const other = deployment.vms.find(candidate => candidate !== vm)!;
  const again = await sendBooking(demonstration, other);
  reporter.event(`${other.entryVm.id} answered ${again.status} ${again.text}`);
  reporter.reason('the claim holds the recorded response of the first run');
  reporter.check(again.text === booked.text, 'both responses are the same');
  reporter.check(
    bookingRuns(demonstration) === 1,
    'the booking ran exactly once',
  );
}

async function showPack(
  demonstration: Demonstration,
  vm: LocalVm,
): Promise<void> {
  const {caller, scenario, reporter} = demonstration;
  reporter.heading('A pack download');
  const {service, bytes} = scenario.packs;
  const answer = await caller.send(vm.entryVm.callerAddress, {
    service,
    path: `/packs/${bytes}`,
  });
  reporter.event(
    `${vm.entryVm.id} answered ${answer.status} with ${answer.bytes} bytes`,
  );
  reporter.reason('large responses are streamed and never buffered completely');
  reporter.check(answer.bytes === bytes, 'the pack arrived completely');
}

async function showTargetDrain(
  demonstration: Demonstration,
  vm: LocalVm,
): Promise<void> {
  const {caller, configuration, deployment, scenario} = demonstration;
  const {reporter, timers, trace} = demonstration;
  reporter.heading('A planned drain of a target');
  const drained = [...configuration.targets.values()].find(
    ({service, target}) =>
      service === scenario.reads.service &&
      target.region === scenario.homeRegion,
  )!.target.id;
  const accepted = await deployment.publish('drain a target', [
    {
      kind: 'drains',
      drains: [
        {
          id: 'demonstration',
          scope: {kind: 'target', target: drained},
          startAtMs: Math.floor(timers.wallMs()),
          rampMs: 0,
          plannedBy: 'demonstration',
        },
      ],
    },
  ]);
  trace.configurationAccepted(generation(accepted));
  trace.leavingSigned(drained);
  const startedAtMs = timers.nowMs();
  await deployment.inForce(accepted);
  const tookMs = Math.round(timers.nowMs() - startedAtMs);
  reporter.event(
    `generation ${accepted} drains ${drained}; in force on every VM after ${tookMs} ms`,
  );
  const before = deployment.targets.get(drained)!.runs();
  const answered = await countAnsweredReads(READS_AFTER_DRAIN);
  reporter.event(`${answered} of ${READS_AFTER_DRAIN} reads were answered`);
  reporter.reason('other targets of the service have free slots');
  reporter.check(answered === READS_AFTER_DRAIN, 'the drain failed no request');
  reporter.check(
    deployment.targets.get(drained)!.runs() === before,
    `${drained} received no new requests`,
  );
  reporter.check(
    tookMs < DRAIN_BOUND_MS,
    `the drain was in force within ${DRAIN_BOUND_MS} ms`,
  );

  async function countAnsweredReads(count: number): Promise<number> {
    let succeeded = 0;
    for (let sent = 0; sent < count; sent += 1) {
      const answer = await caller.send(
        vm.entryVm.callerAddress,
        scenario.reads,
      );
      if (answer.status === 200) {
        succeeded += 1;
      }
    }
    return succeeded;
  }
}

async function showPlannedStop(
  demonstration: Demonstration,
  vm: LocalVm,
): Promise<void> {
  const {caller, deployment, scenario, reporter, timers, trace} = demonstration;
  reporter.heading(`A planned stop of ${vm.entryVm.id} under load`);
  let stopped = false;
  const answers: number[] = [];
  trace.stopBegan(vm.entryVm.id);
  const startedAtMs = timers.nowMs();
  const stop = vm.stop().then(() => {
    stopped = true;
  });
  const otherVm = deployment.vms.find(candidate => candidate !== vm)!;
  while (!stopped) {
    // Like a client, look up and send to the first VM of the response.
    const found = await caller.lookUp(
      otherVm.entryVm.callerAddress,
      scenario.reads.service,
    );
    const best = found.entryVms[0]!;
    const answer = await caller.send(best.address, scenario.reads);
    answers.push(answer.status);
    await timers.sleep(STOP_LOAD_INTERVAL_MS);
  }
  await stop;
  const tookMs = Math.round(timers.nowMs() - startedAtMs);
  const succeeded = answers.filter(status => status === 200).length;
  reporter.event(
    `it stopped after ${tookMs} ms; ${succeeded} of ${answers.length} requests meanwhile were answered`,
  );
  reporter.reason(
    'it was removed from look-ups first, waited until cached look-ups expired and completed its in-flight requests',
  );
  reporter.check(
    succeeded === answers.length,
    'no request was aborted or refused',
  );
}

async function showBookingAfterStop(
  demonstration: Demonstration,
): Promise<void> {
  const {caller, deployment, scenario, reporter} = demonstration;
  reporter.heading('The same booking again, after its VM stopped');
  const running = deployment.vms.find(
    ({entryVm}) => entryVm.region !== scenario.homeRegion,
  )!;
  const found = await caller.lookUp(
    running.entryVm.callerAddress,
    scenario.bookings.service,
  );
  const next = deployment.vms.find(
    ({entryVm}) => entryVm.id === found.entryVms[0]!.id,
  )!;
  const again = await sendBooking(demonstration, next);
  reporter.event(`${next.entryVm.id} answered ${again.status} ${again.text}`);
  reporter.reason('the record stays in the store after its VM has stopped');
  reporter.check(again.status === 201, 'the recorded response was returned');
  reporter.check(
    bookingRuns(demonstration) === 1,
    'the booking still ran exactly once',
  );
}

/** Prints from the journal which target the request was sent to, and why. */
async function explain(
  demonstration: Demonstration,
  vm: LocalVm,
  answer: CallerAnswer,
): Promise<void> {
  const entries = await vm.kernel.ask<
    'journal',
    readonly {fields: Readonly<Record<string, unknown>>}[]
  >('journal', reply => ({
    kind: 'query',
    request: answer.request,
    limit: 5,
    reply,
  }));
  for (const {fields} of entries ?? []) {
    const {destination, explanation} = fields as Partial<RequestRecord>;
    if (destination?.kind === 'target') {
      const lines = explanation ?? [];
      demonstration.reporter.reason(
        [`sent to ${destination.target}`, ...lines].join('; '),
      );
    }
  }
}

function checkInvariants(demonstration: Demonstration): void {
  const {configuration, reporter, trace} = demonstration;
  reporter.heading('Invariants, checked on the trace of the demonstration');
  const violations = trace.violations(configuration);
  for (const {check, subject, detail} of violations) {
    reporter.event(`${check}: ${subject}: ${detail}`);
  }
  reporter.check(violations.length === 0, 'no invariant was violated');
}
