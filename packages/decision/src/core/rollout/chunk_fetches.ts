/** Schedules chunk fetches over peers and the store, with time-outs. */
import type {VmId} from '../model/index.js';

const MAXIMUM_FETCHES = 8;
const FETCH_TIMEOUT_MS = 2_000;
/** Time for which a VM that does not watch requests a chunk only from peers. */
const STORE_GRACE_MS = 2_000;
const STORE_RETRY_MS = 1_000;

export type ChunkSource = VmId | 'store';

export interface ChunkRequest {
  readonly digest: string;
  readonly source: ChunkSource;
}

interface Fetch {
  source: ChunkSource;
  /** Time-out of the active fetch; otherwise earliest time of the next one. */
  waitUntilMs: number;
  /** Sources that failed to deliver this chunk. */
  readonly failedSources: Set<ChunkSource>;
  /** Time from which a VM that does not watch may read from the store. */
  storeAllowedAtMs: number;
  active: boolean;
}

export interface ChunkFetches {
  /** Replaces the wanted set; fetches of digests still in it continue. */
  setWanted(digests: ReadonlySet<string>, nowMs: number): void;
  isWanted(digest: string): boolean;
  completeFetch(digest: string): void;
  /** Ends the active fetch from `source`; another source is tried next. */
  failFetch(digest: string, source: ChunkSource, nowMs: number): void;
  /** Cancels the active fetches from a source; they are retried at once. */
  releaseSource(source: ChunkSource): void;
  /**
   * Starts the fetches that are due and returns the requests to send.
   *
   * @param peers Peers that have the chunks, nearest first.
   */
  startDueFetches(
    peers: readonly VmId[],
    isWatcher: boolean,
    nowMs: number,
  ): readonly ChunkRequest[];
  missingCount(): number;
}

export function createChunkFetches(): ChunkFetches {
  const fetches = new Map<string, Fetch>();

  function setWanted(digests: ReadonlySet<string>, nowMs: number): void {
    for (const digest of [...fetches.keys()]) {
      if (!digests.has(digest)) {
        fetches.delete(digest);
      }
    }
    for (const digest of digests) {
      if (!fetches.has(digest)) {
        fetches.set(digest, {
          source: 'store',
          waitUntilMs: nowMs,
          failedSources: new Set(),
          storeAllowedAtMs: nowMs + STORE_GRACE_MS,
          active: false,
        });
      }
    }
  }

  function chooseSource(
    fetch: Fetch,
    peers: readonly VmId[],
    isWatcher: boolean,
    nowMs: number,
  ): ChunkSource | undefined {
    for (const peer of peers) {
      if (!fetch.failedSources.has(peer)) {
        return peer;
      }
    }
    if (isWatcher || nowMs >= fetch.storeAllowedAtMs) {
      return fetch.failedSources.has('store') ? undefined : 'store';
    }
    return undefined;
  }

  function startDueFetches(
    peers: readonly VmId[],
    isWatcher: boolean,
    nowMs: number,
  ): readonly ChunkRequest[] {
    const requests: ChunkRequest[] = [];
    let active = 0;
    for (const fetch of fetches.values()) {
      expire(fetch, nowMs);
      active += fetch.active ? 1 : 0;
    }
    for (const [digest, fetch] of fetches) {
      if (active >= MAXIMUM_FETCHES) {
        break;
      }
      if (fetch.active || nowMs < fetch.waitUntilMs) {
        continue;
      }
      const source = chooseSource(fetch, peers, isWatcher, nowMs);
      if (source === undefined) {
        // Every source has failed once; all are tried again after a delay.
        fetch.failedSources.clear();
        fetch.waitUntilMs = nowMs + STORE_RETRY_MS;
        continue;
      }
      fetch.source = source;
      fetch.active = true;
      fetch.waitUntilMs = nowMs + FETCH_TIMEOUT_MS;
      active += 1;
      requests.push({digest, source});
    }
    return requests;
  }

  function expire(fetch: Fetch, nowMs: number): void {
    if (fetch.active && nowMs >= fetch.waitUntilMs) {
      fetch.failedSources.add(fetch.source);
      fetch.active = false;
    }
  }

  return {
    setWanted,
    startDueFetches,
    isWanted: digest => fetches.has(digest),
    completeFetch: digest => {
      fetches.delete(digest);
    },
    failFetch: (digest, source, nowMs) => {
      const fetch = fetches.get(digest);
      if (fetch?.active && fetch.source === source) {
        fetch.failedSources.add(source);
        fetch.active = false;
        fetch.waitUntilMs = nowMs;
      }
    },
    releaseSource: source => {
      for (const fetch of fetches.values()) {
        if (fetch.active && fetch.source === source) {
          fetch.active = false;
          fetch.waitUntilMs = 0;
        }
      }
    },
    missingCount: () => fetches.size,
  };
}
