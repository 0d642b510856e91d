/** Reading and changing the configuration in the platform's store. */
import type {
  ConfigurationDocument,
  ConfigurationHead,
  ConfigurationProblem,
  Generation,
  Section,
  SectionName,
} from '@ibisbeam/decision';
import type {ObjectVersion, PlatformError} from '../platform/index.js';

/** The accepted configuration as it stands in the store. */
export interface StoredConfiguration {
  /** Absent before the first configuration is accepted. */
  readonly head?: ConfigurationHead;
  readonly headVersion?: ObjectVersion;
  readonly document: ConfigurationDocument;
}

/** Changed sections; `undefined` removes a section. */
export type SectionChanges = ReadonlyMap<SectionName, Section | undefined>;

/** One section that two operators changed; all sides are shown. */
export interface SectionConflict {
  readonly section: SectionName;
  readonly base?: Section;
  readonly theirs?: Section;
  readonly ours?: Section;
}

export interface AcceptedChange {
  readonly generation: Generation;
  readonly writeId: string;
  /** Whether other sections had changed since the base, and were kept. */
  readonly rebased: boolean;
  /** Whether the store's answer was lost and the head was read back. */
  readonly readBack: boolean;
}

export type PublishError =
  /** Nothing was changed. */
  | {
      readonly kind: 'invalid';
      readonly problems: readonly ConfigurationProblem[];
    }
  /** Nothing was changed: somebody else changed the same sections. */
  | {
      readonly kind: 'conflict';
      readonly sections: readonly SectionConflict[];
      readonly generation: Generation;
      /** Who wrote since the base, newest last. */
      readonly writes: ConfigurationHead['writes'];
    }
  /** Nothing was changed: a section is over the store's limit. */
  | {
      readonly kind: 'section-too-large';
      readonly section: SectionName;
      readonly bytes: number;
    }
  /** Nothing was changed. */
  | {
      readonly kind: 'unavailable';
      readonly operation: string;
      readonly cause: PlatformError;
    }
  /** Nothing was changed: others kept writing in between. */
  | {readonly kind: 'contention'; readonly attempts: number}
  /** It may have taken effect; look for the write identifier later. */
  | {readonly kind: 'outcome-unknown'; readonly writeId: string}
  /** The store holds something that is no configuration. */
  | {readonly kind: 'corrupt'; readonly key: string; readonly problem: string};
