import type {PlatformStore, PlatformVm} from '@ibisbeam/library';

/** Faults that tests inject; each stays active until it is reset. */
export interface PlatformFaults {
  /** Every call fails before it takes effect. */
  down: boolean;
  /** Delay added to each response. */
  delayMs: number;
  /** Number of next writes that take effect but whose response is lost. */
  lostAnswers: number;
  /** Age of the VM list that is returned. */
  vmListLagMs: number;
  /** Discards the change history; watches from older versions fail with a gap. */
  invalidateWatches(): void;
  /** Rate limit; calls above it fail as unavailable. Infinity by default. */
  callsPerSecond: number;
}

export interface MemoryPlatform {
  readonly store: PlatformStore;
  readonly faults: PlatformFaults;
  /** Adds or replaces a VM in the VM list, visible after `vmListLagMs`. */
  setVm(vm: PlatformVm): void;
  removeVm(vm: PlatformVm['vm']): void;
  /** Number of calls by purpose; a long-polling watch counts once. */
  callCounts(): ReadonlyMap<string, number>;
  writeCount(): number;
  objectCount(prefix: string): number;
}
