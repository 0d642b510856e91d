/**
 * The platform's object API as the system uses it. Write an adapter to another
 * platform by implementing PlatformStore; `docs/platform.md` states what each
 * call must promise.
 */
import type {EitherAsync} from 'purify-ts';
import type {Incarnation, VmId} from '@ibisbeam/decision';

/** Version of one object, or of the whole store in lists and watches. */
export type ObjectVersion = number;

export interface PlatformObject {
  readonly key: string;
  readonly version: ObjectVersion;
  /** JSON of at most 1 MB. */
  readonly value: unknown;
}

export type PlatformChange =
  | {readonly kind: 'put'; readonly object: PlatformObject}
  | {
      readonly kind: 'deleted';
      readonly key: string;
      readonly version: ObjectVersion;
    };

export interface PlatformListing {
  readonly objects: readonly PlatformObject[];
  /** Version of the store at which the list holds; watch from here. */
  readonly version: ObjectVersion;
}

export interface PlatformChanges {
  /** Empty when the wait ended without a change. */
  readonly changes: readonly PlatformChange[];
  readonly version: ObjectVersion;
}

/** A VM in the platform's list, which lags. */
export interface PlatformVm {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly state: 'live' | 'leaving';
}

export type PlatformError =
  /** The condition did not hold; nothing was changed by this call. */
  | {readonly kind: 'conflict'; readonly current?: PlatformObject}
  | {readonly kind: 'not-found'}
  /** The answer was lost or late: a write may have taken effect. */
  | {readonly kind: 'lost-answer'; readonly cause: string}
  /** Refused before anything took effect. */
  | {
      readonly kind: 'unavailable';
      readonly cause: string;
      readonly retryAfterMs?: number;
    }
  /** The watch cannot resume from this version; list again. */
  | {readonly kind: 'watch-gap'}
  | {readonly kind: 'rejected'; readonly cause: string};

/** What a call is for; calls are counted and budgeted by it. */
export type PlatformPurpose =
  | 'configuration-watch'
  | 'configuration-read'
  | 'configuration-publish'
  | 'claim'
  | 'claim-collection'
  | 'vm-list'
  | 'store-follow'
  | 'vm-registration'
  | 'failover-record'
  | 'burn-summary'
  | 'operator';

export interface PlatformCallOptions {
  readonly purpose: PlatformPurpose;
  readonly timeoutMs?: number;
}

export interface PlatformWatchOptions extends PlatformCallOptions {
  /** Longest wait for a change. */
  readonly waitMs: number;
  readonly signal?: AbortSignal;
}

export interface PlatformStore {
  read(
    key: string,
    options: PlatformCallOptions,
  ): EitherAsync<PlatformError, PlatformObject>;
  /** Conflicts when the key exists. */
  create(
    key: string,
    value: unknown,
    options: PlatformCallOptions,
  ): EitherAsync<PlatformError, PlatformObject>;
  /** Conflicts when the object is not at the expected version. */
  update(
    key: string,
    expected: ObjectVersion,
    value: unknown,
    options: PlatformCallOptions,
  ): EitherAsync<PlatformError, PlatformObject>;
  delete(
    key: string,
    expected: ObjectVersion,
    options: PlatformCallOptions,
  ): EitherAsync<PlatformError, void>;
  list(
    prefix: string,
    options: PlatformCallOptions,
  ): EitherAsync<PlatformError, PlatformListing>;
  /** Waits for changes after a version; counts as one call while it waits. */
  watch(
    prefix: string,
    after: ObjectVersion,
    options: PlatformWatchOptions,
  ): EitherAsync<PlatformError, PlatformChanges>;
  listVms(
    options: PlatformCallOptions,
  ): EitherAsync<PlatformError, readonly PlatformVm[]>;
}
