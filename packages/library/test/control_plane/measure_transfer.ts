/**
 * Prints bytes and time of the ways to bring a VM from one generation to the
 * next: `node packages/library/dist/test/control_plane/measure_transfer.js`.
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

const BLOCKS = 480_000;
const SHARDS = 24;
const CHANGES_PER_DAY = 730;
const SECONDS_PER_DAY = 86_400;
/** One change in this many is of client blocks; the others are small. */
const SMALL_SECTION_BYTES = 4_000;

const random = createRandomSource(1);
const shards = Array.from({length: SHARDS}, (_, shard) => buildShard(shard));

function buildShard(shard: number): Section {
  const regions: Record<string, string[]> = {};
  for (let index = 0; index < BLOCKS / SHARDS; index += 1) {
    const number = shard * (BLOCKS / SHARDS) + index;
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

function bytesOf(message: ConfigurationPeerMessage): number {
  return encodeFrame([{channel: 'configuration', body: message}]).byteLength;
}

function chunkOf(section: Section): ConfigurationPeerMessage {
  const text = canonicalJson(section);
  const packed = deflateRawSync(text);
  return {kind: 'chunk', digest: chunkDigest(text), packed};
}

function show(what: string, bytes: number, tookMs: number): void {
  const perDay = Math.round((bytes * CHANGES_PER_DAY) / SECONDS_PER_DAY);
  process.stdout.write(
    `${what}: ${bytes} bytes, ${tookMs.toFixed(1)} ms to read; ${perDay} bytes/s at ${CHANGES_PER_DAY} changes a day\n`,
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
const all = shards.map(chunkOf).reduce((sum, chunk) => sum + bytesOf(chunk), 0);
show('full copy, every section', all, timeToRead(texts));
const plain = Buffer.byteLength(texts[0]!);
show('changed section of client blocks, plain', plain, timeToRead([texts[0]!]));
const one = bytesOf(chunkOf(shards[0]!));
show('the same as sent, deflated', one, timeToRead([texts[0]!]));
const log = JSON.stringify({move: ['64.0.7.0/24', 'region-1', 'region-2']});
show('change log of one moved block', log.length, timeToRead([texts[0]!]));
show('changed small section', SMALL_SECTION_BYTES, 0);
