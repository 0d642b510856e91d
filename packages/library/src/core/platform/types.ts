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

/** What the value of one object may take; a larger one is not decoded. */
export interface ValueLimits {
  /** Length of its text. */
  readonly bytes: number;
  /** Upper bound of its values at all depths, with itself. */
  readonly values: number;
  /** Objects and lists within each other. */
  readonly depth: number;
}

/** Why the value of an object was not decoded. */
export type ValueFault =
  'long-value' | 'many-values' | 'deep-value' | 'malformed-value';

/** An object as it is read, before it is known whether it has a use. */
export interface ReadObject {
  readonly key: string;
  readonly version: ObjectVersion;
  /** Length of the object's text in the answer, with its metadata. */
  readonly bytes: number;
  readonly content:
    | {readonly kind: 'value'; readonly value: unknown}
    | {readonly kind: 'refused'; readonly fault: ValueFault};
}

/**
 * Judges objects one by one while an answer is read, so that what other writers
 * have left beside the objects of use is never held.
 */
export interface ObjectSelection {
  readonly limits: ValueLimits;
  /**
   * Returns the value to keep. Undefined leaves the object out; a change to such
   * an object is reported as its deletion.
   */
  select(object: ReadObject): {readonly value: unknown} | undefined;
}

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
  /** Default: all objects. */
  readonly selection?: ObjectSelection;
}

export interface PlatformWatchOptions extends PlatformCallOptions {
  /** Longest wait for a change. */
  readonly waitMs: number;
  readonly signal?: AbortSignal;
  /** Default: all objects. */
  readonly selection?: ObjectSelection;
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
