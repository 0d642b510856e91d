import type {PlatformStore, PlatformVm} from '@ibisbeam/library';

/** Faults that tests switch on; each holds until it is switched off. */
export interface PlatformFaults {
  /** Every call is refused before it takes effect. */
  down: boolean;
  /** Added to each answer. */
  delayMs: number;
  /** The answers of this many next writes are lost after they took effect. */
  lostAnswers: number;
  /** The VM list is as it was this long ago. */
  vmListLagMs: number;
  /** Waiting watches are cut, and versions before now are forgotten. */
  invalidateWatches(): void;
  /** Calls a second that are answered; more are refused. Infinity by default. */
  callsPerSecond: number;
}

export interface MemoryPlatform {
  readonly store: PlatformStore;
  readonly faults: PlatformFaults;
  /** What the platform says of its VMs; changes show after the lag. */
  setVm(vm: PlatformVm): void;
  removeVm(vm: PlatformVm['vm']): void;
  /** Calls so far by purpose; a waiting watch counts once. */
  callCounts(): ReadonlyMap<string, number>;
  writeCount(): number;
  objectCount(prefix: string): number;
}
