/** Queries and results of entry VM look-ups. */
import type {
  EntryVm,
  Generation,
  RegionName,
  ServiceName,
  WorkspaceName,
} from '../model/index.js';

/** Number of cohorts; client blocks move between regions by cohort. */
export const COHORT_COUNT = 1_000;

/** Home region and cohort of a client address. */
export interface ClientLocation {
  /** Absent when no configured block contains the address. */
  readonly homeRegion?: RegionName;
  /** 0 to COHORT_COUNT - 1; the same for all addresses of a block. */
  readonly cohort: number;
}

export interface LookupQuery {
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly location: ClientLocation;
}

export interface LookupChoice {
  readonly vm: EntryVm;
  /** Relative share of requests; 0 marks a fallback if all others fail. */
  readonly weight: number;
}

export interface LookupResult {
  readonly generation: Generation;
  /** Best first; never empty. */
  readonly choices: readonly LookupChoice[];
}

export type LookupRefusal =
  'no-configuration' | 'unknown-workspace' | 'unknown-service' | 'no-entry-vm';
