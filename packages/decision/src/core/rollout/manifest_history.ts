/** Recent manifests, used to send peers only the difference to theirs. */
import type {Generation} from '../model/index.js';
import {
  type Manifest,
  applyManifestDifference,
  diffManifests,
  manifestDigest,
} from './manifest.js';
import type {ConfigurationPeerMessage} from './peer_messages.js';

const MAXIMUM_MANIFESTS = 16;

type ManifestMessage = Extract<ConfigurationPeerMessage, {kind: 'manifest'}>;

export interface ManifestHistory {
  add(generation: Generation, manifest: Manifest): void;
  /**
   * Returns a message with the difference from generation `have`, or with the
   * complete manifest if that generation is not in the history.
   */
  createMessage(
    generation: Generation,
    manifest: Manifest,
    have: Generation | undefined,
  ): ManifestMessage;
  /** Returns undefined if the base is unknown or the digest does not match. */
  resolveManifest(message: ManifestMessage): Manifest | undefined;
}

export function createManifestHistory(): ManifestHistory {
  const manifests = new Map<Generation, Manifest>();

  return {
    add: (generation, manifest) => {
      manifests.set(generation, manifest);
      for (const oldest of manifests.keys()) {
        if (manifests.size <= MAXIMUM_MANIFESTS) {
          break;
        }
        manifests.delete(oldest);
      }
    },
    createMessage: (generation, manifest, have) => {
      const base = have === undefined ? undefined : manifests.get(have);
      const difference = base
        ? diffManifests(base, manifest)
        : {entries: manifest, removed: []};
      return {
        kind: 'manifest',
        generation,
        digest: manifestDigest(manifest),
        ...(base ? {base: have} : {}),
        ...difference,
      };
    },
    resolveManifest: message => {
      const base =
        message.base === undefined ? [] : manifests.get(message.base);
      if (!base) {
        return undefined;
      }
      const manifest = applyManifestDifference(base, message);
      return manifestDigest(manifest) === message.digest ? manifest : undefined;
    },
  };
}
