/** Targets and callers that now and then send bytes without end in a soak. */
import {createRandomSource, hash32} from '@ibisbeam/decision';
import type {TimerHandle, TimerService} from '@ibisbeam/library';
import {
  ENDLESS_ANSWERS,
  ENDLESS_REQUESTS,
  type FleetTarget,
  type TargetFault,
} from '@ibisbeam/stand-ins';
import type {GatewayProcess} from './gateway_process.js';
import {ENDLESS_PATH, type LoadGenerator} from './load_generator.js';
import {
  type CallerKind,
  type EndlessCaller,
  startEndlessCaller,
} from './memory/endless_callers.js';

export interface EndlessDisruptions {
  /** Lets the target answer without end on the path of its own for that. */
  arm(target: FleetTarget): void;
  start(vms: readonly GatewayProcess[], load: LoadGenerator): void;
  stop(): void;
}

export interface EndlessDisruptionsOptions {
  readonly seed: number;
  readonly hostName: string;
  readonly timers: TimerService;
  recordEvent(text: string): void;
}

const MINIMUM_PAUSE_MS = 700;
const PAUSE_RANGE_MS = 1_500;
const MAXIMUM_AT_ONCE = 3;
/** A look-up may be sent to so many targets. */
const ATTEMPTS = 2;
const CALLER_SPAN_MS = 1_000;
const CALLER_KINDS: readonly CallerKind[] = [
  'mebibyte-in-one-byte-chunks',
  ...ENDLESS_REQUESTS,
];

export function createEndlessDisruptions(
  options: EndlessDisruptionsOptions,
): EndlessDisruptions {
  const {timers, hostName, recordEvent} = options;
  const seedText = `bytes without end ${options.seed}`;
  const random = createRandomSource(hash32(seedText));
  /** Taken by the targets that get the next requests on the path. */
  const faults: TargetFault[] = [];
  const callers = new Set<EndlessCaller>();
  let timer: TimerHandle | undefined;

  function schedule(vms: readonly GatewayProcess[], load: LoadGenerator): void {
    const pauseMs = MINIMUM_PAUSE_MS + random.below(PAUSE_RANGE_MS);
    timer = timers.after(pauseMs, () => {
      const vm = vms[random.below(vms.length)];
      const count = 1 + random.below(MAXIMUM_AT_ONCE);
      const comesFromTargets = random.below(2) === 0;
      if (vm && comesFromTargets) {
        answerWithoutEnd(vm, load, count);
      } else if (vm) {
        callWithoutEnd(vm, count);
      }
      schedule(vms, load);
    });
  }

  function answerWithoutEnd(
    vm: GatewayProcess,
    load: LoadGenerator,
    count: number,
  ): void {
    const index = random.below(ENDLESS_ANSWERS.length);
    const kind = ENDLESS_ANSWERS[index] ?? 'one-byte-chunks';
    recordEvent(`${count} answers without end (${kind}) to ${vm.id}`);
    faults.length = 0;
    for (let sent = 0; sent < count; sent += 1) {
      faults.push(...Array<TargetFault>(ATTEMPTS).fill(kind));
      load.sendEndless(vm);
    }
  }

  function callWithoutEnd(vm: GatewayProcess, count: number): void {
    const index = random.below(CALLER_KINDS.length);
    const kind = CALLER_KINDS[index] ?? 'upload-in-one-byte-chunks';
    recordEvent(`${count} callers without end (${kind}) at ${vm.id}`);
    for (let started = 0; started < count; started += 1) {
      const caller = startEndlessCaller({
        kind,
        id: `endless-${started}`,
        address: vm.caller,
        hostName,
        timers,
        onCall: () => {},
      });
      callers.add(caller);
      timers.after(CALLER_SPAN_MS, () => {
        caller.leave();
        callers.delete(caller);
      });
    }
  }

  return {
    arm: target => target.planFor(ENDLESS_PATH, faults),
    start: schedule,
    stop: () => {
      timer?.cancel();
      faults.length = 0;
      for (const caller of callers) {
        caller.leave();
      }
    },
  };
}
