/** A simulated configuration store that delays its answers and counts calls. */
import {
  type ConfigurationDocument,
  type ConfigurationHead,
  type ListedVm,
  type Section,
  type VmId,
  canonicalJson,
  chunkDigest,
  generation,
  sectionNameOf,
  sortManifest,
} from '@ibisbeam/decision';
import type {EventLoop} from '../decision/event_loop.js';

/** Network round trip to the store's region and the store's own processing. */
const STORE_ROUND_TRIP_MS = 44;
/** Time-out of a watch: a third of the staleness bound. */
const WATCH_WAIT_MS = 10_000;

export interface StoreCalls {
  /** Watch calls that returned, by a change or by their time-out. */
  watches: number;
  headReads: number;
  chunkReads: number;
  lists: number;
  writes: number;
}

export interface ControlStore {
  readonly calls: StoreCalls;
  watching(): number;
  setWatching(node: VmId, enabled: boolean): void;
  readHead(onResult: (head: ConfigurationHead) => void): void;
  readChunk(digest: string, onResult: (text: string | undefined) => void): void;
  listVms(onResult: (vms: readonly ListedVm[]) => void): void;
  publish(sections: readonly Section[]): void;
  resetCalls(): void;
  unavailableUntil(endMs: number): void;
}

export interface ControlStoreOptions {
  readonly loop: EventLoop;
  readonly document: ConfigurationDocument;
  readonly onHead: (node: VmId, head: ConfigurationHead) => void;
  readonly onWatchFailed: (node: VmId) => void;
  readonly liveVms: () => readonly ListedVm[];
}

export function createControlStore(options: ControlStoreOptions): ControlStore {
  const {loop} = options;
  const chunks = new Map<string, string>();
  const manifest = new Map<string, {digest: string; bytes: number}>();
  const watchers = new Map<VmId, {active: boolean}>();
  const calls: StoreCalls = emptyCalls();
  let generationNumber = 0;
  let unavailableUntilMs = 0;
  let head = publishHead([...options.document.values()]);

  function publishHead(sections: readonly Section[]): ConfigurationHead {
    for (const section of sections) {
      const text = canonicalJson(section);
      const digest = chunkDigest(text);
      chunks.set(digest, text);
      manifest.set(sectionNameOf(section), {digest, bytes: text.length});
    }
    generationNumber += 1;
    return {
      generation: generation(generationNumber),
      manifest: sortManifest(
        [...manifest].map(([section, entry]) => ({section, ...entry})),
      ),
      writes: [],
    };
  }

  function isUnavailable(): boolean {
    return loop.nowMs() < unavailableUntilMs;
  }

  function setWatching(node: VmId, enabled: boolean): void {
    const previous = watchers.get(node);
    if (previous) {
      previous.active = false;
      watchers.delete(node);
    }
    if (enabled) {
      const watch = {active: true};
      watchers.set(node, watch);
      scheduleWatchEnd(node, watch);
    }
  }

  function scheduleWatchEnd(node: VmId, watch: {active: boolean}): void {
    loop.after(WATCH_WAIT_MS, () => {
      if (!watch.active) {
        return;
      }
      calls.watches += 1;
      if (isUnavailable()) {
        options.onWatchFailed(node);
      } else {
        options.onHead(node, head);
      }
      scheduleWatchEnd(node, watch);
    });
  }

  return {
    calls,
    watching: () => watchers.size,
    setWatching,
    readHead: onResult => {
      calls.headReads += 1;
      loop.after(STORE_ROUND_TRIP_MS, () => {
        if (!isUnavailable()) {
          onResult(head);
        }
      });
    },
    readChunk: (digest, onResult) => {
      calls.chunkReads += 1;
      loop.after(STORE_ROUND_TRIP_MS, () =>
        onResult(isUnavailable() ? undefined : chunks.get(digest)),
      );
    },
    listVms: onResult => {
      calls.lists += 1;
      loop.after(STORE_ROUND_TRIP_MS, () => {
        if (!isUnavailable()) {
          onResult(options.liveVms());
        }
      });
    },
    publish: sections => {
      calls.writes += sections.length + 1;
      head = publishHead(sections);
      for (const node of watchers.keys()) {
        calls.watches += 1;
        loop.after(STORE_ROUND_TRIP_MS / 2, () => options.onHead(node, head));
      }
    },
    resetCalls: () => Object.assign(calls, emptyCalls()),
    unavailableUntil: endMs => {
      unavailableUntilMs = endMs;
    },
  };
}

function emptyCalls(): StoreCalls {
  return {watches: 0, headReads: 0, chunkReads: 0, lists: 0, writes: 0};
}
