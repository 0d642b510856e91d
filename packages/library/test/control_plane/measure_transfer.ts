/**
 * Prints the size and parse time of the ways to transfer a new generation to a
 * VM: `node packages/library/dist/test/control_plane/measure_transfer.js`.
 */
import {performance} from 'node:perf_hooks';
import {deflateRawSync} from 'node:zlib';
import {
  type ConfigurationPeerMessage,
  type Section,
  canonicalJson,
  chunkDigest,
  createRandomSource,
  regionName,
  sectionSchema,
} from '@ibisbeam/decision';
import {encodeFrame} from '../../src/plugins/peer_links/wire.js';

const BLOCK_COUNT = 480_000;
const SHARD_COUNT = 24;
const CHANGES_PER_DAY = 730;
const SECONDS_PER_DAY = 86_400;
/** Assumed size of a section other than client blocks. */
const SMALL_SECTION_BYTES = 4_000;

const random = createRandomSource(1);
const shards = Array.from({length: SHARD_COUNT}, (_, shard) =>
  buildShard(shard),
);

function buildShard(shard: number): Section {
  const regions: Record<string, string[]> = {};
  for (let index = 0; index < BLOCK_COUNT / SHARD_COUNT; index += 1) {
    const number = shard * (BLOCK_COUNT / SHARD_COUNT) + index;
    const block = `${64 + (number >> 16)}.${(number >> 8) & 255}.${number & 255}.0/24`;
    (regions[`region-${random.below(30)}`] ??= []).push(block);
  }
  const blocks: Record<string, string> = {};
  for (const [region, list] of Object.entries(regions)) {
    blocks[regionName(region)] = list.join(' ');
  }
  return sectionSchema.parse({
    kind: 'client-blocks',
    shard: String(shard).padStart(4, '0'),
    blocks,
  });
}

function encodedBytes(message: ConfigurationPeerMessage): number {
  return encodeFrame([{channel: 'configuration', body: message}]).byteLength;
}

function buildChunk(section: Section): ConfigurationPeerMessage {
  const text = canonicalJson(section);
  const packed = deflateRawSync(text);
  return {kind: 'chunk', digest: chunkDigest(text), packed};
}

function printResult(label: string, bytes: number, elapsedMs: number): void {
  const bytesPerSecond = Math.round(
    (bytes * CHANGES_PER_DAY) / SECONDS_PER_DAY,
  );
  process.stdout.write(
    `${label}: ${bytes} bytes, ${elapsedMs.toFixed(1)} ms to read; ${bytesPerSecond} bytes/s at ${CHANGES_PER_DAY} changes a day\n`,
  );
}

function timeToRead(texts: readonly string[]): number {
  const startMs = performance.now();
  for (const text of texts) {
    chunkDigest(text);
    sectionSchema.parse(JSON.parse(text));
  }
  return performance.now() - startMs;
}

const texts = shards.map(section => canonicalJson(section));
const fullCopyBytes = shards
  .map(buildChunk)
  .reduce((sum, chunk) => sum + encodedBytes(chunk), 0);
printResult('full copy, every section', fullCopyBytes, timeToRead(texts));
const plainBytes = Buffer.byteLength(texts[0]!);
printResult(
  'changed section of client blocks, plain',
  plainBytes,
  timeToRead([texts[0]!]),
);
const deflatedBytes = encodedBytes(buildChunk(shards[0]!));
printResult(
  'the same as sent, deflated',
  deflatedBytes,
  timeToRead([texts[0]!]),
);
const changeLog = JSON.stringify({
  move: ['64.0.7.0/24', 'region-1', 'region-2'],
});
printResult(
  'change log of one moved block',
  changeLog.length,
  timeToRead([texts[0]!]),
);
printResult('changed small section', SMALL_SECTION_BYTES, 0);
