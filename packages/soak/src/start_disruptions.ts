/** Signals and rewritten settings files in the first moments of processes. */
import {createRandomSource, hash32} from '@ibisbeam/decision';
import type {TimerService} from '@ibisbeam/library';
import type {GatewayProcess} from './gateway_process.js';

export interface StartDisruptions {
  /** Call it when a process has been started; ignored until `start`. */
  onStart(vm: GatewayProcess): void;
  start(): void;
  stop(): void;
}

export interface StartDisruptionsOptions {
  readonly seed: number;
  readonly timers: TimerService;
  recordEvent(text: string): void;
  /** Sends SIGTERM and takes note of the planned stop. */
  stopGracefully(vm: GatewayProcess): void;
}

type StartDisruption = 'reload' | 'stop' | 'rewrite' | 'torn settings';

const DISRUPTIONS: readonly StartDisruption[] = [
  'reload',
  'stop',
  'rewrite',
  'torn settings',
];
const DISRUPTED_FRACTION = 0.6;
const SPAN_MS = 500;
const MAXIMUM_TORN_MS = 400;
const POLL_INTERVAL_MS = 10;

export function createStartDisruptions(
  options: StartDisruptionsOptions,
): StartDisruptions {
  const {timers, recordEvent} = options;
  const random = createRandomSource(hash32(`starts ${options.seed}`));
  let isActive = false;
  let rewrites = 0;

  function onStart(vm: GatewayProcess): void {
    if (!isActive) {
      return;
    }
    const isDisrupted = random.next() < DISRUPTED_FRACTION;
    const disruption = DISRUPTIONS[random.below(DISRUPTIONS.length)];
    const delayMs = random.below(SPAN_MS);
    const tornMs = random.below(MAXIMUM_TORN_MS);
    if (!isDisrupted || !disruption) {
      return;
    }
    if (disruption === 'torn settings') {
      recordEvent(`settings of ${vm.id} torn for ${tornMs} ms at its start`);
      vm.tearSettings();
      timers.after(tornMs, () => vm.writeSettings(nextSettings(vm)));
      return;
    }
    timers.after(delayMs, () => disrupt(vm, disruption));
  }

  /** A signal that comes before the runtime's first statement ends a process. */
  function disrupt(vm: GatewayProcess, disruption: StartDisruption): void {
    if (!isActive || !vm.isRunning()) {
      return;
    }
    if (!vm.catchesSignals()) {
      timers.after(POLL_INTERVAL_MS, () => disrupt(vm, disruption));
      return;
    }
    recordEvent(`${disruption} of ${vm.id} at its start`);
    switch (disruption) {
      case 'stop':
        options.stopGracefully(vm);
        return;
      case 'reload':
        vm.signal('SIGHUP');
        return;
      case 'rewrite':
      case 'torn settings':
        vm.writeSettings(nextSettings(vm));
        vm.signal('SIGHUP');
        return;
    }
  }

  function nextSettings(vm: GatewayProcess): string {
    rewrites += 1;
    return JSON.stringify({...vm.settings, rewrites});
  }

  return {
    onStart,
    start: () => {
      isActive = true;
    },
    stop: () => {
      isActive = false;
    },
  };
}
