/** What a look-up asks and what it is answered. */
import type {
  EntryVm,
  Generation,
  RegionName,
  ServiceName,
  WorkspaceName,
} from '../model/index.js';

/** Client blocks move between regions in this many cohorts. */
export const COHORT_COUNT = 1_000;

/** Where a client address belongs. */
export interface ClientLocation {
  /** Absent when no configured block holds the address. */
  readonly homeRegion?: RegionName;
  /** 0 to COHORT_COUNT - 1; equal for all addresses of a block. */
  readonly cohort: number;
}

export interface LookupQuery {
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly location: ClientLocation;
}

export interface LookupChoice {
  readonly vm: EntryVm;
  /** Relative share of requests; 0 means only when all before it fail. */
  readonly weight: number;
}

export interface LookupResult {
  readonly generation: Generation;
  /** Best first; never empty. */
  readonly choices: readonly LookupChoice[];
}

export type LookupRefusal =
  'no-configuration' | 'unknown-workspace' | 'unknown-service' | 'no-entry-vm';
