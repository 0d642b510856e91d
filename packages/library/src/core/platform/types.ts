/**
 * The part of the platform's object API that the system uses. An adapter to
 * another platform implements `PlatformStore`; `docs/platform.md` specifies
 * the guarantees of each call.
 */
import type {EitherAsync} from 'purify-ts';
import type {Incarnation, VmId} from '@ibisbeam/decision';

/** Version of one object; in listings and watches, of the whole store. */
export type ObjectVersion = number;

export interface PlatformObject {
  readonly key: string;
  readonly version: ObjectVersion;
  /** JSON value of at most 1,048,576 bytes when serialised. */
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
  /** Store version of this listing; a watch resumes after it. */
  readonly version: ObjectVersion;
}

export interface PlatformChanges {
  /** Empty if the wait ended without a change. */
  readonly changes: readonly PlatformChange[];
  /** Store version after these changes; the next watch resumes after it. */
  readonly version: ObjectVersion;
}

/** A VM in the platform's list, which is eventually consistent. */
export interface PlatformVm {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly state: 'live' | 'leaving';
}

export type PlatformError =
  /** The precondition failed; this call changed nothing. */
  | {readonly kind: 'conflict'; readonly current?: PlatformObject}
  | {readonly kind: 'not-found'}
  /** The response was lost or timed out; a write may have taken effect. */
  | {readonly kind: 'lost-answer'; readonly cause: string}
  /** Refused without effect. */
  | {
      readonly kind: 'unavailable';
      readonly cause: string;
      readonly retryAfterMs?: number;
    }
  /** The watch cannot resume from this version; the caller must list again. */
  | {readonly kind: 'watch-gap'}
  /** The store refused the call as invalid; repeating it does not help. */
  | {readonly kind: 'rejected'; readonly cause: string};

/** Purpose of a call; calls are counted and budgeted by purpose. */
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
  /** Defaults to the call timeout of the implementation. */
  readonly timeoutMs?: number;
}

export interface PlatformListOptions extends PlatformCallOptions {
  /**
   * The list may be some seconds old, which costs the store less. Default:
   * false.
   */
  readonly mayBeStale?: boolean;
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
  /** Fails with `conflict` if the key exists. */
  create(
    key: string,
    value: unknown,
    options: PlatformCallOptions,
  ): EitherAsync<PlatformError, PlatformObject>;
  /** Fails with `conflict` if the object is not at the expected version. */
  update(
    key: string,
    expected: ObjectVersion,
    value: unknown,
    options: PlatformCallOptions,
  ): EitherAsync<PlatformError, PlatformObject>;
  /**
   * Fails with `conflict` if the object is not at the expected version, and with
   * `not-found` if the key does not exist.
   */
  delete(
    key: string,
    expected: ObjectVersion,
    options: PlatformCallOptions,
  ): EitherAsync<PlatformError, void>;
  /** Lists the objects whose keys start with the prefix. */
  list(
    prefix: string,
    options: PlatformListOptions,
  ): EitherAsync<PlatformError, PlatformListing>;
  /** Long poll for changes after a version; counted as one call. */
  watch(
    prefix: string,
    after: ObjectVersion,
    options: PlatformWatchOptions,
  ): EitherAsync<PlatformError, PlatformChanges>;
  listVms(
    options: PlatformCallOptions,
  ): EitherAsync<PlatformError, readonly PlatformVm[]>;
}
