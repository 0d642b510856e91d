/** Digests of chunks and manifests, and the difference of two manifests. */
import {createHash} from 'node:crypto';
import type {ManifestEntry} from './types.js';

export type Manifest = readonly ManifestEntry[];

/** Returns the digest under which a chunk with this text is stored. */
export function chunkDigest(text: string): string {
  return createHash('sha256').update(text).digest('base64url');
}

/** Returns a digest that does not depend on the order of the entries. */
export function manifestDigest(manifest: Manifest): string {
  const hash = createHash('sha256');
  for (const {section, digest} of sortManifest(manifest)) {
    hash.update(`${section}\n${digest}\n`);
  }
  return hash.digest('base64url');
}

/** Returns a copy ordered by section name. */
export function sortManifest(manifest: Manifest): Manifest {
  return [...manifest].sort((one, other) =>
    one.section < other.section ? -1 : 1,
  );
}

export interface ManifestDifference {
  /** Entries that are new or have another digest. */
  readonly entries: Manifest;
  /** Names of the sections that are no longer contained. */
  readonly removed: readonly string[];
}

export function diffManifests(
  base: Manifest,
  next: Manifest,
): ManifestDifference {
  const old = new Map(base.map(entry => [entry.section, entry.digest]));
  const entries: ManifestEntry[] = [];
  for (const entry of next) {
    if (old.get(entry.section) !== entry.digest) {
      entries.push(entry);
    }
    old.delete(entry.section);
  }
  return {entries, removed: [...old.keys()]};
}

export function applyManifestDifference(
  base: Manifest,
  difference: ManifestDifference,
): Manifest {
  const entries = new Map(base.map(entry => [entry.section, entry]));
  for (const section of difference.removed) {
    entries.delete(section);
  }
  for (const entry of difference.entries) {
    entries.set(entry.section, entry);
  }
  return sortManifest([...entries.values()]);
}

/** Returns JSON with sorted keys, so that equal values have equal digests. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, item: unknown) => {
    if (typeof item !== 'object' || item === null || Array.isArray(item)) {
      return item;
    }
    const sorted: Record<string, unknown> = {};
    for (const key of Object.keys(item).sort()) {
      sorted[key] = (item as Record<string, unknown>)[key];
    }
    return sorted;
  });
}
