/** Publishes configuration changes by a conditional update of the head. */
import {
  CONFIGURATION_HEAD_KEY,
  type ConfigurationHead,
  type ConfigurationProblem,
  type Generation,
  type ManifestEntry,
  MAXIMUM_RECORDED_WRITES,
  type Section,
  type SectionName,
  compileConfiguration,
  generation,
  sectionNameOf,
  sectionSchema,
} from '@ibisbeam/decision';
import {EitherAsync} from 'purify-ts';
import type {PlatformError, PlatformStore} from '../platform/index.js';
import {
  type EncodedChunk,
  MAXIMUM_CHUNK_BYTES,
  encodeSection,
  storeChunk,
} from './chunks.js';
import {readConfiguration, readConfigurationHead} from './read_document.js';
import type {
  AcceptedChange,
  ConfigurationStoreError,
  SectionChanges,
  SectionConflict,
  StoredConfiguration,
} from './types.js';

const MAXIMUM_PUBLISH_ATTEMPTS = 8;
const PURPOSE = {purpose: 'configuration-publish'} as const;

export interface PublishOptions {
  readonly platform: PlatformStore;
  /** Configuration on which the operator based the change. */
  readonly base: StoredConfiguration;
  readonly sections: SectionChanges;
  readonly author: string;
  readonly summary: string;
  /** Unique identifier of this change; repeating it has no further effect. */
  readonly writeId: string;
  /** Unix time in milliseconds, for the record of the write. */
  readonly wallMs: number;
}

/**
 * Publishes a change. If other sections have changed since the base, the change
 * is rebased on the current configuration. If the store's response is lost, the
 * outcome is resolved by looking for the write identifier in the head.
 */
export function publishChange(
  options: PublishOptions,
): EitherAsync<ConfigurationStoreError, AcceptedChange> {
  const {platform, base, writeId} = options;

  return EitherAsync(async ({throwE, fromPromise}) => {
    const encoded = await fromPromise(encodeChanges(options.sections).run());
    let current = base;
    /** Generation that an update whose response was lost would have created. */
    let unconfirmedGeneration: Generation | undefined;
    let lostResponses = 0;
    for (let count = 0; count < MAXIMUM_PUBLISH_ATTEMPTS; count += 1) {
      const read = await readConfiguration(platform, {
        purpose: 'configuration-publish',
        known: current,
      }).run();
      if (read.isLeft() && unconfirmedGeneration !== undefined) {
        return throwE({kind: 'outcome-unknown', writeId});
      }
      current = await fromPromise(Promise.resolve(read));
      const written = findWrite(current, writeId);
      if (written !== undefined) {
        return accepted(written, lostResponses > 0);
      }
      if (
        unconfirmedGeneration !== undefined &&
        !historyCovers(current, unconfirmedGeneration)
      ) {
        return throwE({kind: 'outcome-unknown', writeId});
      }
      if (
        unconfirmedGeneration !== undefined &&
        hasReached(current, unconfirmedGeneration)
      ) {
        // Another write has this generation, so the unconfirmed update can no
        // longer take effect.
        unconfirmedGeneration = undefined;
      }
      const head = await fromPromise(prepare(options, encoded, current).run());
      const error = await update(head, current);
      switch (error?.kind) {
        case undefined:
          return accepted(head.generation, false);
        case 'conflict':
          break;
        case 'lost-answer':
          unconfirmedGeneration = head.generation;
          lostResponses += 1;
          break;
        default:
          return throwE(
            unconfirmedGeneration === undefined
              ? unavailable(error!)
              : {kind: 'outcome-unknown', writeId},
          );
      }
    }
    return throwE(
      unconfirmedGeneration === undefined
        ? {kind: 'contention', attempts: MAXIMUM_PUBLISH_ATTEMPTS}
        : {kind: 'outcome-unknown', writeId},
    );
  });

  function accepted(created: Generation, readBack: boolean): AcceptedChange {
    const expected = (base.head?.generation ?? 0) + 1;
    return {
      generation: created,
      writeId,
      rebased: created !== expected,
      readBack,
    };
  }

  async function update(
    head: ConfigurationHead,
    current: StoredConfiguration,
  ): Promise<PlatformError | undefined> {
    const result =
      current.headVersion === undefined
        ? platform.create(CONFIGURATION_HEAD_KEY, head, PURPOSE)
        : platform.update(
            CONFIGURATION_HEAD_KEY,
            current.headVersion,
            head,
            PURPOSE,
          );
    return (await result.run()).swap().toMaybe().extract();
  }
}

type EncodedChanges = ReadonlyMap<SectionName, EncodedChunk | undefined>;

function encodeChanges(
  sections: SectionChanges,
): EitherAsync<ConfigurationStoreError, EncodedChanges> {
  return EitherAsync(async ({throwE}) => {
    const encoded = new Map<SectionName, EncodedChunk | undefined>();
    for (const [name, section] of sections) {
      const problems = section ? findSectionProblems(name, section) : [];
      if (problems.length > 0) {
        return throwE({kind: 'invalid', problems});
      }
      const chunk = section && encodeSection(section);
      if (chunk && chunk.bytes > MAXIMUM_CHUNK_BYTES) {
        const {bytes} = chunk;
        return throwE({kind: 'section-too-large', section: name, bytes});
      }
      encoded.set(name, chunk);
    }
    return encoded;
  });
}

/** Validates a section as VMs do, independently of the static types. */
function findSectionProblems(
  name: SectionName,
  section: Section,
): readonly ConfigurationProblem[] {
  const parsed = sectionSchema.safeParse(section);
  if (!parsed.success) {
    return parsed.error.issues.map(({path, message}) => ({
      section: name,
      path: path.join('.'),
      problem: message,
    }));
  }
  const expected = sectionNameOf(parsed.data);
  if (expected === name) {
    return [];
  }
  const problem = `the section must be named ${expected}`;
  return [{section: name, path: '', problem}];
}

/** Validates the change against the current configuration; stores its chunks. */
function prepare(
  options: PublishOptions,
  encoded: EncodedChanges,
  current: StoredConfiguration,
): EitherAsync<ConfigurationStoreError, ConfigurationHead> {
  return EitherAsync(async ({throwE, fromPromise}) => {
    const conflicts = findConflicts(options, encoded, current);
    if (conflicts.length > 0) {
      return throwE({
        kind: 'conflict',
        sections: conflicts,
        generation: current.head!.generation,
        writes: writesSince(options.base, current),
      });
    }
    const next = generation((current.head?.generation ?? 0) + 1);
    const document = new Map(current.document);
    for (const [name, section] of options.sections) {
      if (section) {
        document.set(name, section);
      } else {
        document.delete(name);
      }
    }
    const compiled = compileConfiguration(document, next);
    if (compiled.isLeft()) {
      const problems = compiled.swap().unsafeCoerce();
      return throwE({kind: 'invalid', problems});
    }
    for (const chunk of encoded.values()) {
      if (chunk) {
        await fromPromise(
          storeChunk(options.platform, chunk, options.wallMs, PURPOSE).run(),
        );
      }
    }
    return buildHead(options, encoded, current, next);
  });
}

function findConflicts(
  options: PublishOptions,
  encoded: EncodedChanges,
  current: StoredConfiguration,
): readonly SectionConflict[] {
  const before = sectionDigests(options.base);
  const now = sectionDigests(current);
  const conflicts: SectionConflict[] = [];
  for (const [section, chunk] of encoded) {
    const theirs = now.get(section);
    if (theirs === before.get(section) || theirs === chunk?.digest) {
      continue;
    }
    conflicts.push({
      section,
      base: options.base.document.get(section),
      theirs: current.document.get(section),
      ours: options.sections.get(section),
    });
  }
  return conflicts;
}

function sectionDigests(
  configuration: StoredConfiguration,
): ReadonlyMap<SectionName, string> {
  const entries = configuration.head?.manifest ?? [];
  return new Map(entries.map(entry => [entry.section, entry.digest]));
}

function buildHead(
  options: PublishOptions,
  encoded: EncodedChanges,
  current: StoredConfiguration,
  next: Generation,
): ConfigurationHead {
  const manifest = new Map<SectionName, ManifestEntry>();
  for (const entry of current.head?.manifest ?? []) {
    manifest.set(entry.section, entry);
  }
  for (const [section, chunk] of encoded) {
    if (chunk) {
      const {digest, bytes} = chunk;
      manifest.set(section, {section, digest, bytes});
    } else {
      manifest.delete(section);
    }
  }
  const write = {
    writeId: options.writeId,
    generation: next,
    author: options.author,
    summary: options.summary.slice(0, 500),
    atMs: options.wallMs,
  };
  const writes = [...(current.head?.writes ?? []), write];
  return {
    generation: next,
    manifest: [...manifest.values()],
    writes: writes.slice(-MAXIMUM_RECORDED_WRITES),
  };
}

function findWrite(
  current: StoredConfiguration,
  writeId: string,
): Generation | undefined {
  const writes = current.head?.writes ?? [];
  return writes.find(write => write.writeId === writeId)?.generation;
}

function hasReached(
  current: StoredConfiguration,
  expectedGeneration: Generation,
): boolean {
  return (current.head?.generation ?? 0) >= expectedGeneration;
}

function unavailable(cause: PlatformError): ConfigurationStoreError {
  const operation = `update of ${CONFIGURATION_HEAD_KEY}`;
  return {kind: 'unavailable', operation, cause};
}

/** Whether the recorded writes reach back to the given generation. */
function historyCovers(
  current: StoredConfiguration,
  expectedGeneration: Generation,
): boolean {
  const {head} = current;
  if (!head || head.generation < expectedGeneration) {
    return true;
  }
  return (head.writes[0]?.generation ?? 0) <= expectedGeneration;
}

function writesSince(
  base: StoredConfiguration,
  current: StoredConfiguration,
): ConfigurationHead['writes'] {
  const since = base.head?.generation ?? 0;
  const writes = current.head?.writes ?? [];
  return writes.filter(write => write.generation > since);
}

/**
 * Returns the generation that a write created, if it took effect; for changes
 * whose outcome was unknown.
 */
export function findGenerationOfWrite(
  platform: PlatformStore,
  writeId: string,
): EitherAsync<ConfigurationStoreError, Generation | undefined> {
  return readConfigurationHead(platform, 'operator').map(stored => {
    const writes = stored?.head.writes ?? [];
    return writes.find(write => write.writeId === writeId)?.generation;
  });
}
