/** Sections by the digest of their text; the texts are kept for peers. */
import {type Section, type SectionName, sectionSchema} from '../model/index.js';
import {type Manifest, chunkDigest} from './manifest.js';

interface StoredSection {
  readonly text: string;
  readonly section: Section;
}

export interface SectionStore {
  /** Digests of a manifest that are not here. */
  missing(manifest: Manifest): ReadonlySet<string>;
  has(digest: string): boolean;
  /** False when the text is not what the digest says, or is no section. */
  take(digest: string, text: string): boolean;
  textOf(digest: string): string | undefined;
  /** All digests of the manifest must be here. */
  assemble(manifest: Manifest): ReadonlyMap<SectionName, Section>;
  /** Forgets what the manifest does not need. */
  retain(manifest: Manifest): void;
}

export function createSectionStore(): SectionStore {
  const stored = new Map<string, StoredSection>();

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
    take: (digest, text) => {
      const section = parseSection(digest, text);
      if (!section) {
        return false;
      }
      stored.set(digest, {text, section});
      return true;
    },
    textOf: digest => stored.get(digest)?.text,
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
