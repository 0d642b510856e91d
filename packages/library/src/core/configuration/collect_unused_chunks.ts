/** Garbage collection of chunks that the accepted configuration does not use. */
import {CONFIGURATION_CHUNK_PREFIX} from '@ibisbeam/decision';
import {EitherAsync} from 'purify-ts';
import type {PlatformStore} from '../platform/index.js';
import {storedChunkSchema} from './chunks.js';
import {readConfigurationHead} from './read_document.js';
import type {ConfigurationStoreError} from './types.js';

/**
 * Minimum age of a chunk at deletion; far longer than a publication takes. A
 * publication also writes its chunks again before the head, which changes the
 * version that a deletion expects.
 */
export const CHUNK_GRACE_PERIOD_MS = 3_600_000;

export interface ChunkCollectionResult {
  readonly kept: number;
  readonly deleted: number;
}

/** Deletes unused chunks. Several collections may run concurrently. */
export function collectUnusedChunks(
  platform: PlatformStore,
  wallMs: number,
): EitherAsync<ConfigurationStoreError, ChunkCollectionResult> {
  return EitherAsync(async ({fromPromise}) => {
    const listed = await fromPromise(
      platform
        .list(CONFIGURATION_CHUNK_PREFIX, {purpose: 'configuration-read'})
        .mapLeft<ConfigurationStoreError>(cause => ({
          kind: 'unavailable',
          operation: 'list of chunks',
          cause,
        }))
        .run(),
    );
    // The head must be read after the list: a chunk that a publication referenced
    // in between is then known to be in use.
    const stored = await fromPromise(
      readConfigurationHead(platform, 'configuration-read').run(),
    );
    const used = new Set(stored?.head.manifest.map(entry => entry.digest));
    let deleted = 0;
    for (const object of listed.objects) {
      const digest = object.key.slice(CONFIGURATION_CHUNK_PREFIX.length);
      const chunk = storedChunkSchema.safeParse(object.value);
      const withinGracePeriod =
        chunk.success &&
        wallMs - chunk.data.writtenAtMs < CHUNK_GRACE_PERIOD_MS;
      if (used.has(digest) || withinGracePeriod) {
        continue;
      }
      const result = await platform
        .delete(object.key, object.version, {purpose: 'configuration-read'})
        .run();
      deleted += result.isRight() ? 1 : 0;
    }
    return {kept: listed.objects.length - deleted, deleted};
  });
}
