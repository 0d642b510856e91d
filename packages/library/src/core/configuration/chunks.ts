/** Stores configuration sections as content-addressed chunks. */
import {
  CONFIGURATION_CHUNK_PREFIX,
  type Section,
  canonicalJson,
  chunkDigest,
  sectionSchema,
} from '@ibisbeam/decision';
import {type Either, EitherAsync, Left, Right} from 'purify-ts';
import * as z from 'zod';
import type {
  PlatformCallOptions,
  PlatformError,
  PlatformObject,
  PlatformStore,
} from '../platform/index.js';
import type {ConfigurationStoreError} from './types.js';

/**
 * Leaves room for the envelope below the store's limit of 1,048,576 bytes per
 * object.
 */
export const MAXIMUM_CHUNK_BYTES = 1_000_000;
const MAXIMUM_WRITE_ATTEMPTS = 3;

/**
 * `writtenAtMs` is Unix time in milliseconds. It keeps garbage collection from
 * deleting a chunk that a publication in progress is about to reference.
 */
export const storedChunkSchema = z.strictObject({
  text: z.string(),
  writtenAtMs: z.number(),
});

export interface EncodedChunk {
  readonly digest: string;
  readonly text: string;
  /** Size of the text as a JSON string, in bytes. */
  readonly bytes: number;
}

export function encodeSection(section: Section): EncodedChunk {
  const text = canonicalJson(section);
  return {
    digest: chunkDigest(text),
    text,
    bytes: Buffer.byteLength(JSON.stringify(text)),
  };
}

/** Returns the text of a stored chunk if it matches the digest in its key. */
export function verifyChunkText(
  object: PlatformObject,
): Either<ConfigurationStoreError, string> {
  const stored = storedChunkSchema.safeParse(object.value);
  if (!stored.success) {
    return Left(
      createCorruptObjectError(
        object.key,
        'the object does not match the schema of a chunk',
      ),
    );
  }
  const digest = object.key.slice(CONFIGURATION_CHUNK_PREFIX.length);
  if (chunkDigest(stored.data.text) !== digest) {
    return Left(
      createCorruptObjectError(
        object.key,
        'the digest of the text does not match the key',
      ),
    );
  }
  return Right(stored.data.text);
}

export function readSection(
  platform: PlatformStore,
  digest: string,
  options: PlatformCallOptions,
): EitherAsync<ConfigurationStoreError, Section> {
  const key = `${CONFIGURATION_CHUNK_PREFIX}${digest}`;
  return platform
    .read(key, options)
    .mapLeft<ConfigurationStoreError>(cause => ({
      kind: 'unavailable',
      operation: `read of ${key}`,
      cause,
    }))
    .chain(object => EitherAsync.liftEither(verifyChunkText(object)))
    .chain(text => EitherAsync.liftEither(parseSection(key, text)));
}

function parseSection(
  key: string,
  text: string,
): Either<ConfigurationStoreError, Section> {
  const parsed = sectionSchema.safeParse(JSON.parse(text));
  return parsed.success
    ? Right(parsed.data)
    : Left(createCorruptObjectError(key, parsed.error.message));
}

/**
 * Stores a chunk. An existing chunk is written again, which changes its
 * version, so that a concurrent garbage collection that saw it unused fails to
 * delete it.
 */
export function storeChunk(
  platform: PlatformStore,
  chunk: EncodedChunk,
  wallMs: number,
  options: PlatformCallOptions,
): EitherAsync<ConfigurationStoreError, void> {
  const key = `${CONFIGURATION_CHUNK_PREFIX}${chunk.digest}`;
  const value = {text: chunk.text, writtenAtMs: wallMs};

  async function attempt(): Promise<PlatformError | undefined> {
    const created = await platform.create(key, value, options).run();
    const error = errorOf(created);
    if (error?.kind !== 'conflict' || !error.current) {
      return error;
    }
    const {version} = error.current;
    return errorOf(await platform.update(key, version, value, options).run());
  }

  return EitherAsync(async ({throwE}) => {
    let cause: PlatformError | undefined;
    for (let count = 0; count < MAXIMUM_WRITE_ATTEMPTS; count += 1) {
      cause = await attempt();
      if (!cause) {
        return;
      }
      if (cause.kind === 'unavailable' || cause.kind === 'rejected') {
        break;
      }
    }
    return throwE({
      kind: 'unavailable',
      operation: `write of ${key}`,
      cause: cause!,
    });
  });
}

function errorOf<Value>(
  result: Either<PlatformError, Value>,
): PlatformError | undefined {
  return result.swap().toMaybe().extract();
}

export function createCorruptObjectError(
  key: string,
  problem: string,
): ConfigurationStoreError {
  return {kind: 'corrupt', key, problem};
}
