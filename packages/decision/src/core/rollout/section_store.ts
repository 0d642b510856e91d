/** Parsed sections by digest, with their text for transfer to peers. */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {type Section, type SectionName, sectionSchema} from '../model/index.js';
import {type Manifest, chunkDigest} from './manifest.js';

const MAXIMUM_TEXT_BYTES = 1_048_576;

interface StoredSection {
  readonly text: string;
  /** Compressed text; computed on the first request of a peer. */
  packed?: Uint8Array;
  readonly section: Section;
}

export interface SectionStore {
  /** Returns the digests in the manifest that are not stored. */
  missing(manifest: Manifest): ReadonlySet<string>;
  has(digest: string): boolean;
  /** Returns false if the digest does not match or the text is no section. */
  add(digest: string, text: string): boolean;
  /** Like `add`, for a text compressed by a peer. */
  addPacked(digest: string, packed: Uint8Array): boolean;
  /** Returns the text compressed with raw deflate; undefined if not stored. */
  packedOf(digest: string): Uint8Array | undefined;
  /** All digests in the manifest must be stored. */
  assemble(manifest: Manifest): ReadonlyMap<SectionName, Section>;
  /** Deletes the sections that the manifest does not contain. */
  retain(manifest: Manifest): void;
}

export function createSectionStore(): SectionStore {
  const stored = new Map<string, StoredSection>();

  function add(digest: string, text: string): boolean {
    const section = parseSection(digest, text);
    if (!section) {
      return false;
    }
    stored.set(digest, {text, section});
    return true;
  }

  function packedOf(digest: string): Uint8Array | undefined {
    const found = stored.get(digest);
    if (found) {
      found.packed ??= deflateRawSync(found.text);
    }
    return found?.packed;
  }

  return {
    missing: manifest => {
      const missing = new Set<string>();
      for (const {digest} of manifest) {
        if (!stored.has(digest)) {
          missing.add(digest);
        }
      }
      return missing;
    },
    has: digest => stored.has(digest),
    add,
    addPacked: (digest, packed) => {
      const text = inflate(packed);
      return text !== undefined && add(digest, text);
    },
    packedOf,
    assemble: manifest => {
      const sections = new Map<SectionName, Section>();
      for (const {section, digest} of manifest) {
        sections.set(section, stored.get(digest)!.section);
      }
      return sections;
    },
    retain: manifest => {
      const used = new Set(manifest.map(entry => entry.digest));
      for (const digest of [...stored.keys()]) {
        if (!used.has(digest)) {
          stored.delete(digest);
        }
      }
    },
  };
}

function inflate(packed: Uint8Array): string | undefined {
  try {
    return inflateRawSync(packed, {
      maxOutputLength: MAXIMUM_TEXT_BYTES,
    }).toString();
  } catch {
    return undefined;
  }
}

function parseSection(digest: string, text: string): Section | undefined {
  if (chunkDigest(text) !== digest) {
    return undefined;
  }
  try {
    const parsed = sectionSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
