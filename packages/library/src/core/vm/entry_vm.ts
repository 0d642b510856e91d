/** Assembles an entry VM from its plug-ins and services. */
import {
  type Incarnation,
  type RandomSource,
  incarnation,
} from '@ibisbeam/decision';
import {registerPlugIns} from '../../plugins/index.js';
import type {TokenSigner, TokenVerifier} from '../access/index.js';
import {
  type Hooks,
  type Kernel,
  createKernel,
  createPlugInRegistry,
} from '../kernel/index.js';
import type {Logger} from '../logs/index.js';
import type {Metrics} from '../metrics/index.js';
import type {PlatformStore} from '../platform/index.js';
import type {Settings} from '../settings/index.js';
import type {TimerService} from '../timers/index.js';

const NO_HOOKS: Hooks = {
  vmStarted: [],
  requestFinished: [],
  configurationInForce: [],
};

export interface EntryVmOptions {
  readonly settings: Settings;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly platform: PlatformStore;
  readonly tokenVerifier: TokenVerifier;
  readonly tokenSigner: TokenSigner;
  /** Defaults to that of the settings, else to a generated one. */
  readonly incarnation?: Incarnation;
  readonly hooks?: Partial<Hooks>;
}

/** Creates an entry VM with all plug-ins; no task runs before `start`. */
export function createEntryVm(options: EntryVmOptions): Kernel {
  const {settings, timers, random} = options;
  const registry = createPlugInRegistry();
  registerPlugIns(registry);
  return createKernel(registry.all(), {
    ...options,
    incarnation:
      options.incarnation ??
      settings.vm.incarnation ??
      newIncarnation(timers, random),
    hooks: {...NO_HOOKS, ...options.hooks},
  });
}

/** Combines start time and 32 random bits, unique among restarts of a VM. */
function newIncarnation(
  timers: TimerService,
  random: RandomSource,
): Incarnation {
  const startTime = Math.floor(timers.wallMs()).toString(36);
  const suffix = random.below(2 ** 32).toString(36);
  return incarnation(`${startTime}-${suffix}`);
}
