/** One user's part of the demonstration, step by step. */
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
import type {Narrator} from './narrator.js';
import {createTraceRecorder} from './trace_recorder.js';
import type {UserFacts} from './user_facts.js';

const READY_TIMEOUT_MS = 20_000;
const READY_INTERVAL_MS = 50;
const READS_AFTER_DRAIN = 12;
const STOP_LOAD_INTERVAL_MS = 10;
/** A target that drains gets no new work after this long. */
const LEAVING_NOTICE_MS = 3_000;

export interface DemonstrationOptions {
  readonly facts: UserFacts;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly narrator: Narrator;
}

/** Starts everything and waits until look-up and forwarding answer. */
export async function startDemonstration(
  options: DemonstrationOptions,
): Promise<Demonstration> {
  const {facts, timers, logger, narrator} = options;
  const trace = createTraceRecorder(timers);
  const deployment = await startLocalDeployment({
    name: facts.name,
    entryVmCount: facts.entryVmCount,
    workerDivisor: facts.workerDivisor,
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
    {kind: 'calling-team', team: teamName(facts.team)},
    'ibisbeam-caller',
  );
  const caller = createCaller({...facts, token, trace});
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
  await untilReady(demonstration);
  narrator.heading(
    `${facts.title}: ${deployment.vms.length} entry VMs, ${deployment.targets.size} targets`,
  );
  for (const {entryVm} of deployment.vms) {
    narrator.happened(
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
  checkPromises(demonstration);
}

async function untilReady(demonstration: Demonstration): Promise<void> {
  const {caller, deployment, facts, timers} = demonstration;
  const endMs = timers.nowMs() + READY_TIMEOUT_MS;
  for (const {entryVm} of deployment.vms) {
    while (!(await answers(entryVm.callerAddress))) {
      if (timers.nowMs() > endMs) {
        throw new Error(`${entryVm.id} did not become ready`);
      }
      await timers.sleep(READY_INTERVAL_MS);
    }
  }

  async function answers(address: string): Promise<boolean> {
    try {
      await caller.lookUp(address, facts.reads.service);
    } catch {
      return false;
    }
    const reads = [facts.reads, facts.bookings];
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
  const {caller, deployment, facts, narrator} = demonstration;
  narrator.heading('Look-up: which entry VMs should this client use?');
  const asked = deployment.vms.at(-1)!;
  const answer = await caller.lookUp(
    asked.entryVm.callerAddress,
    facts.reads.service,
  );
  const vms = answer.entryVms.map(vm => `${vm.id} (weight ${vm.weight})`);
  narrator.happened(
    `${asked.entryVm.id} answered ${vms.join(', ')}; generation ${answer.generation}, valid for ${answer.lifetimeSeconds} s`,
  );
  narrator.because(
    `${facts.clientAddress} is in a block at home in ${facts.homeRegion}; any VM answers for all from memory`,
  );
  const best = answer.entryVms[0]!;
  const first = deployment.vms.find(vm => vm.entryVm.id === best.id)!;
  narrator.promise(
    first.entryVm.region === facts.homeRegion,
    'the first VM is in the home region',
  );
  return first;
}

async function showRead(
  demonstration: Demonstration,
  vm: LocalVm,
): Promise<void> {
  const {caller, facts, narrator} = demonstration;
  narrator.heading('A read');
  const answer = await caller.send(vm.entryVm.callerAddress, facts.reads);
  narrator.happened(
    `${vm.entryVm.id} answered ${answer.status} ${answer.text}`,
  );
  await explain(demonstration, vm, answer);
  narrator.promise(answer.status === 200, 'the read was answered');
}

const BOOKING_KEY = 'demonstration-booking-1';

function sendBooking(
  demonstration: Demonstration,
  vm: LocalVm,
): Promise<CallerAnswer> {
  const {caller, facts} = demonstration;
  return caller.send(vm.entryVm.callerAddress, {
    ...facts.bookings,
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
  const {deployment, narrator} = demonstration;
  narrator.heading('A booking, and the same booking again at another VM');
  const booked = await sendBooking(demonstration, vm);
  narrator.happened(
    `${vm.entryVm.id} answered ${booked.status} ${booked.text}`,
  );
  narrator.because(
    'a claim for its Idempotency-Key was made in the store before the first byte was sent',
  );
  const other = deployment.vms.find(candidate => candidate !== vm)!;
  const again = await sendBooking(demonstration, other);
  narrator.happened(
    `${other.entryVm.id} answered ${again.status} ${again.text}`,
  );
  narrator.because('the claim holds the answer of the first run');
  narrator.promise(again.text === booked.text, 'both got the same answer');
  narrator.promise(
    bookingRuns(demonstration) === 1,
    'the booking ran exactly once',
  );
}

async function showPack(
  demonstration: Demonstration,
  vm: LocalVm,
): Promise<void> {
  const {caller, facts, narrator} = demonstration;
  narrator.heading('A pack download');
  const {service, bytes} = facts.packs;
  const answer = await caller.send(vm.entryVm.callerAddress, {
    service,
    path: `/packs/${bytes}`,
  });
  narrator.happened(
    `${vm.entryVm.id} answered ${answer.status} with ${answer.bytes} bytes`,
  );
  narrator.because('long answers stream and are never held in memory whole');
  narrator.promise(answer.bytes === bytes, 'the pack arrived whole');
}

async function showTargetDrain(
  demonstration: Demonstration,
  vm: LocalVm,
): Promise<void> {
  const {caller, configuration, deployment, facts} = demonstration;
  const {narrator, timers, trace} = demonstration;
  narrator.heading('A planned drain of a target');
  const drained = [...configuration.targets.values()].find(
    ({service, target}) =>
      service === facts.reads.service && target.region === facts.homeRegion,
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
  narrator.happened(
    `generation ${accepted} drains ${drained}; in force on every VM after ${tookMs} ms`,
  );
  const before = deployment.targets.get(drained)!.runs();
  const answered = await readSeveral(READS_AFTER_DRAIN);
  narrator.happened(`${answered} of ${READS_AFTER_DRAIN} reads were answered`);
  narrator.because('other targets of the service have free slots');
  narrator.promise(answered === READS_AFTER_DRAIN, 'the drain cost no request');
  narrator.promise(
    deployment.targets.get(drained)!.runs() === before,
    `${drained} got no new work`,
  );
  narrator.promise(
    tookMs < LEAVING_NOTICE_MS,
    'the drain was in force within seconds',
  );

  async function readSeveral(count: number): Promise<number> {
    let good = 0;
    for (let sent = 0; sent < count; sent += 1) {
      const answer = await caller.send(vm.entryVm.callerAddress, facts.reads);
      if (answer.status === 200) {
        good += 1;
      }
    }
    return good;
  }
}

async function showPlannedStop(
  demonstration: Demonstration,
  vm: LocalVm,
): Promise<void> {
  const {caller, deployment, facts, narrator, timers, trace} = demonstration;
  narrator.heading(`A planned stop of ${vm.entryVm.id} under load`);
  let stopped = false;
  const answers: number[] = [];
  trace.stopBegan(vm.entryVm.id);
  const startedAtMs = timers.nowMs();
  const stop = vm.stop().then(() => {
    stopped = true;
  });
  const asked = deployment.vms.find(candidate => candidate !== vm)!;
  while (!stopped) {
    // As clients do: look up, and send to the first VM of the answer.
    const found = await caller.lookUp(
      asked.entryVm.callerAddress,
      facts.reads.service,
    );
    const best = found.entryVms[0]!;
    const answer = await caller.send(best.address, facts.reads);
    answers.push(answer.status);
    await timers.sleep(STOP_LOAD_INTERVAL_MS);
  }
  await stop;
  const tookMs = Math.round(timers.nowMs() - startedAtMs);
  const good = answers.filter(status => status === 200).length;
  narrator.happened(
    `it stopped after ${tookMs} ms; ${good} of ${answers.length} requests meanwhile were answered`,
  );
  narrator.because(
    'it left the look-ups first, waited out their lifetime and finished what was in flight',
  );
  narrator.promise(good === answers.length, 'no request was cut or refused');
}

async function showBookingAfterStop(
  demonstration: Demonstration,
): Promise<void> {
  const {caller, deployment, facts, narrator} = demonstration;
  narrator.heading('The same booking once more, after its VM stopped');
  const running = deployment.vms.find(
    ({entryVm}) => entryVm.region !== facts.homeRegion,
  )!;
  const found = await caller.lookUp(
    running.entryVm.callerAddress,
    facts.bookings.service,
  );
  const next = deployment.vms.find(
    ({entryVm}) => entryVm.id === found.entryVms[0]!.id,
  )!;
  const again = await sendBooking(demonstration, next);
  narrator.happened(
    `${next.entryVm.id} answered ${again.status} ${again.text}`,
  );
  narrator.because('the record outlives the VM that made it');
  narrator.promise(again.status === 201, 'the recorded answer came again');
  narrator.promise(
    bookingRuns(demonstration) === 1,
    'the booking still ran exactly once',
  );
}

/** Where the request went, as its record says. */
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
      demonstration.narrator.because(
        [`sent to ${destination.target}`, ...lines].join('; '),
      );
    }
  }
}

function checkPromises(demonstration: Demonstration): void {
  const {configuration, narrator, trace} = demonstration;
  narrator.heading('The promises, checked over everything that happened');
  const violations = trace.violations(configuration);
  for (const {check, subject, detail} of violations) {
    narrator.happened(`${check}: ${subject}: ${detail}`);
  }
  narrator.promise(violations.length === 0, 'no promise was broken');
}
