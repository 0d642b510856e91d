/** Reads the accepted configuration from the platform's store. */
import {
  CONFIGURATION_HEAD_KEY,
  type ConfigurationHead,
  type Section,
  type SectionName,
  configurationHeadSchema,
} from '@ibisbeam/decision';
import {EitherAsync, Left, Right} from 'purify-ts';
import type {
  PlatformObject,
  PlatformPurpose,
  PlatformStore,
} from '../platform/index.js';
import {createCorruptObjectError, readSection} from './chunks.js';
import type {ConfigurationStoreError, StoredConfiguration} from './types.js';

const MAXIMUM_PARALLEL_READS = 8;

export interface StoredConfigurationHead {
  readonly head: ConfigurationHead;
  /** Version of the object in the store, for a conditional update. */
  readonly version: number;
}

/** Resolves to `undefined` before the first configuration is accepted. */
export function readConfigurationHead(
  platform: PlatformStore,
  purpose: PlatformPurpose,
): EitherAsync<ConfigurationStoreError, StoredConfigurationHead | undefined> {
  return EitherAsync(async ({throwE, liftEither}) => {
    const result = await platform.read(CONFIGURATION_HEAD_KEY, {purpose}).run();
    const error = result.swap().toMaybe().extract();
    if (error?.kind === 'not-found') {
      return undefined;
    }
    if (error) {
      const operation = `read of ${CONFIGURATION_HEAD_KEY}`;
      return throwE({kind: 'unavailable', operation, cause: error});
    }
    const object = result.unsafeCoerce();
    return {
      head: await liftEither(parseConfigurationHead(object)),
      version: object.version,
    };
  });
}

export function parseConfigurationHead(object: PlatformObject) {
  const parsed = configurationHeadSchema.safeParse(object.value);
  return parsed.success
    ? Right<ConfigurationHead, ConfigurationStoreError>(parsed.data)
    : Left<ConfigurationStoreError, ConfigurationHead>(
        createCorruptObjectError(object.key, parsed.error.message),
      );
}

/**
 * Reads the accepted configuration with all sections. Sections that are
 * unchanged since `options.known`, a configuration read earlier, are reused.
 */
export function readConfiguration(
  platform: PlatformStore,
  options: {
    readonly purpose?: PlatformPurpose;
    readonly known?: StoredConfiguration;
  } = {},
): EitherAsync<ConfigurationStoreError, StoredConfiguration> {
  const purpose = options.purpose ?? 'operator';
  return EitherAsync(async ({fromPromise}) => {
    const stored = await fromPromise(
      readConfigurationHead(platform, purpose).run(),
    );
    if (!stored) {
      return {document: new Map()};
    }
    const sections = knownSections(options.known);
    const missing = stored.head.manifest.filter(
      ({digest}) => !sections.has(digest),
    );
    for (
      let start = 0;
      start < missing.length;
      start += MAXIMUM_PARALLEL_READS
    ) {
      const batch = missing.slice(start, start + MAXIMUM_PARALLEL_READS);
      const read = await fromPromise(
        EitherAsync.all(
          batch.map(({digest}) => readSection(platform, digest, {purpose})),
        ).run(),
      );
      for (const [index, section] of read.entries()) {
        sections.set(batch[index]!.digest, section);
      }
    }
    return {
      head: stored.head,
      headVersion: stored.version,
      document: assembleDocument(stored.head, sections),
    };
  });
}

function knownSections(
  known: StoredConfiguration | undefined,
): Map<string, Section> {
  const sections = new Map<string, Section>();
  for (const {section, digest} of known?.head?.manifest ?? []) {
    const found = known?.document.get(section);
    if (found) {
      sections.set(digest, found);
    }
  }
  return sections;
}

function assembleDocument(
  head: ConfigurationHead,
  sections: ReadonlyMap<string, Section>,
): ReadonlyMap<SectionName, Section> {
  const document = new Map<SectionName, Section>();
  for (const {section, digest} of head.manifest) {
    document.set(section, sections.get(digest)!);
  }
  return document;
}
