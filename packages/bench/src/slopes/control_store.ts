/** The store as the control parts see it: answers late and counts its calls. */
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

/** One way to the store's region and back, with the store's own work. */
const STORE_ANSWER_MS = 44;
/** Longest wait of a watch; a third of the staleness bound. */
const WATCH_WAIT_MS = 10_000;

export interface StoreCalls {
  /** Waits of watches that ended, each a call. */
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
  readHead(take: (head: ConfigurationHead) => void): void;
  readChunk(digest: string, take: (text: string | undefined) => void): void;
  listVms(take: (vms: readonly ListedVm[]) => void): void;
  publish(sections: readonly Section[]): void;
  resetCalls(): void;
  unavailableUntil(momentMs: number): void;
}

export interface ControlStoreOptions {
  readonly loop: EventLoop;
  readonly document: ConfigurationDocument;
  readonly onHead: (node: VmId, head: ConfigurationHead) => void;
  readonly onFailed: (node: VmId) => void;
  readonly listed: () => readonly ListedVm[];
}

export function createControlStore(options: ControlStoreOptions): ControlStore {
  const {loop} = options;
  const chunks = new Map<string, string>();
  const manifest = new Map<string, {digest: string; bytes: number}>();
  const watchers = new Map<VmId, {active: boolean}>();
  const calls: StoreCalls = emptyCalls();
  let number = 0;
  let awayUntilMs = 0;
  let head = publishHead([...options.document.values()]);

  function publishHead(sections: readonly Section[]): ConfigurationHead {
    for (const section of sections) {
      const text = canonicalJson(section);
      const digest = chunkDigest(text);
      chunks.set(digest, text);
      manifest.set(sectionNameOf(section), {digest, bytes: text.length});
    }
    number += 1;
    return {
      generation: generation(number),
      manifest: sortManifest(
        [...manifest].map(([section, entry]) => ({section, ...entry})),
      ),
      writes: [],
    };
  }

  function isAway(): boolean {
    return loop.nowMs() < awayUntilMs;
  }

  function setWatching(node: VmId, enabled: boolean): void {
    const running = watchers.get(node);
    if (running) {
      running.active = false;
      watchers.delete(node);
    }
    if (enabled) {
      const watch = {active: true};
      watchers.set(node, watch);
      wait(node, watch);
    }
  }

  function wait(node: VmId, watch: {active: boolean}): void {
    loop.after(WATCH_WAIT_MS, () => {
      if (!watch.active) {
        return;
      }
      calls.watches += 1;
      if (isAway()) {
        options.onFailed(node);
      } else {
        options.onHead(node, head);
      }
      wait(node, watch);
    });
  }

  return {
    calls,
    watching: () => watchers.size,
    setWatching,
    readHead: take => {
      calls.headReads += 1;
      loop.after(STORE_ANSWER_MS, () => {
        if (!isAway()) {
          take(head);
        }
      });
    },
    readChunk: (digest, take) => {
      calls.chunkReads += 1;
      loop.after(STORE_ANSWER_MS, () =>
        take(isAway() ? undefined : chunks.get(digest)),
      );
    },
    listVms: take => {
      calls.lists += 1;
      loop.after(STORE_ANSWER_MS, () => {
        if (!isAway()) {
          take(options.listed());
        }
      });
    },
    publish: sections => {
      calls.writes += sections.length + 1;
      head = publishHead(sections);
      for (const node of watchers.keys()) {
        calls.watches += 1;
        loop.after(STORE_ANSWER_MS / 2, () => options.onHead(node, head));
      }
    },
    resetCalls: () => Object.assign(calls, emptyCalls()),
    unavailableUntil: momentMs => {
      awayUntilMs = momentMs;
    },
  };
}

function emptyCalls(): StoreCalls {
  return {watches: 0, headReads: 0, chunkReads: 0, lists: 0, writes: 0};
}
