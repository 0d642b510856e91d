/** Simulates a fleet of control nodes with links, a store and byte counters. */
import {
  type ConfigurationDocument,
  type EntryVm,
  type Generation,
  type ListedVm,
  type Section,
  type VmId,
  incarnation,
} from '@ibisbeam/decision';
import {type EventLoop, createEventLoop} from '../decision/event_loop.js';
import {
  type ControlMessage,
  type ControlNode,
  createControlNode,
} from './control_node.js';
import {type ControlStore, createControlStore} from './control_store.js';
import {frameBytes} from './wire_bytes.js';

const LINK_SETUP_MS = 50;
const INTRA_REGION_DELAY_MS = 1.5;
const INTER_REGION_DELAY_MS = 20;
/** Spreads the starts of the nodes, so that their timers are not in phase. */
const START_SPREAD_MS = 1_000;

export interface NodeCounters {
  messages: number;
  /** Sent and received, with headers and acknowledgements. */
  bytes: number;
  readonly channels: Record<ControlMessage['channel'], number>;
}

export interface ControlFleet {
  readonly loop: EventLoop;
  readonly store: ControlStore;
  readonly nodes: ReadonlyMap<VmId, ControlNode>;
  readonly counters: ReadonlyMap<VmId, NodeCounters>;
  readonly latestInForce: ReadonlyMap<
    VmId,
    {generation: Generation; atMs: number}
  >;
  linkCount(node: VmId): number;
  start(): void;
  publish(section: Section): void;
  /** Stops the nodes at once and closes their links. */
  kill(nodes: readonly VmId[]): void;
  resetCounters(): void;
}

/** @param withSteering Whether the steering of each node runs as well. */
export function createControlFleet(
  document: ConfigurationDocument,
  withSteering: boolean,
): ControlFleet {
  const loop = createEventLoop();
  const nodes = new Map<VmId, ControlNode>();
  const counters = new Map<VmId, NodeCounters>();
  const wantedPeers = new Map<VmId, ReadonlySet<VmId>>();
  const links = new Map<VmId, Set<VmId>>();
  const dead = new Set<VmId>();
  const latestInForce = new Map<VmId, {generation: Generation; atMs: number}>();
  const store = createControlStore({
    loop,
    document,
    onHead: (node, head) =>
      nodes.get(node)?.rollout({
        kind: 'store-head',
        head,
        requestedAtMs: loop.nowMs(),
      }),
    onWatchFailed: node => nodes.get(node)?.rollout({kind: 'store-failed'}),
    liveVms: () => listedVms(nodes.keys(), dead),
  });

  function delayMs(from: VmId, to: VmId): number {
    const fromRegion = nodes.get(from)!.vm.region;
    const toRegion = nodes.get(to)!.vm.region;
    return fromRegion === toRegion
      ? INTRA_REGION_DELAY_MS
      : INTER_REGION_DELAY_MS;
  }

  function countMessage(
    node: VmId,
    channel: ControlMessage['channel'],
    bytes: number,
  ) {
    const counter = counters.get(node)!;
    counter.messages += 1;
    counter.bytes += bytes;
    counter.channels[channel] += bytes;
  }

  function send(from: VmId, to: VmId, message: ControlMessage): void {
    if (!nodes.has(to) || dead.has(to) || dead.has(from)) {
      return;
    }
    const {sent, acknowledgements} = frameBytes(message.channel, message.body);
    countMessage(from, message.channel, sent + acknowledgements);
    countMessage(to, message.channel, sent + acknowledgements);
    loop.after(delayMs(from, to), () => nodes.get(to)!.receive(from, message));
  }

  function setWantedLinks(from: VmId, peers: readonly VmId[]): void {
    const before = wantedPeers.get(from) ?? new Set();
    wantedPeers.set(from, new Set(peers));
    for (const peer of peers) {
      loop.after(LINK_SETUP_MS, () => openLink(from, peer));
    }
    for (const peer of before) {
      if (!isWanted(from, peer)) {
        closeLink(from, peer);
      }
    }
  }

  function isWanted(first: VmId, second: VmId): boolean {
    return Boolean(
      wantedPeers.get(first)?.has(second) ||
      wantedPeers.get(second)?.has(first),
    );
  }

  function openLink(first: VmId, second: VmId): void {
    const bothAlive =
      nodes.has(second) && !dead.has(first) && !dead.has(second);
    if (!bothAlive || linksOf(first).has(second) || !isWanted(first, second)) {
      return;
    }
    linksOf(first).add(second);
    linksOf(second).add(first);
    nodes.get(first)!.connected(second);
    nodes.get(second)!.connected(first);
  }

  function closeLink(first: VmId, second: VmId): void {
    if (!linksOf(first).delete(second)) {
      return;
    }
    linksOf(second).delete(first);
    nodes.get(first)!.disconnected(second);
    nodes.get(second)!.disconnected(first);
  }

  function linksOf(node: VmId): Set<VmId> {
    const peers = links.get(node) ?? new Set<VmId>();
    links.set(node, peers);
    return peers;
  }

  const environment = {
    loop,
    send,
    setWantedLinks,
    setWatching: (node: VmId, enabled: boolean) =>
      store.setWatching(node, enabled),
    readHead: (node: VmId) => {
      const requestedAtMs = loop.nowMs();
      store.readHead(head =>
        nodes.get(node)!.rollout({kind: 'store-head', head, requestedAtMs}),
      );
    },
    readChunk: (node: VmId, digest: string) =>
      store.readChunk(digest, text =>
        nodes.get(node)!.rollout({kind: 'chunk-read', digest, text}),
      ),
    listVms: (node: VmId) =>
      store.listVms(vms =>
        nodes.get(node)!.membership({kind: 'platform-list', vms}),
      ),
    inForce: (node: VmId, generation: Generation) => {
      latestInForce.set(node, {generation, atMs: loop.nowMs()});
    },
  };

  for (const [index, vm] of entryVmsOf(document).entries()) {
    nodes.set(vm.id, createControlNode(vm, index, environment, withSteering));
    counters.set(vm.id, emptyCounters());
  }

  return {
    loop,
    store,
    nodes,
    counters,
    latestInForce,
    linkCount: node => linksOf(node).size,
    start: () => {
      let index = 0;
      for (const node of nodes.values()) {
        const atMs = (index * START_SPREAD_MS) / nodes.size;
        loop.at(atMs, () => node.start());
        index += 1;
      }
    },
    publish: section => store.publish([section]),
    kill: lost => {
      for (const node of lost) {
        dead.add(node);
        nodes.get(node)!.stop();
        store.setWatching(node, false);
      }
      for (const node of lost) {
        for (const peer of [...linksOf(node)]) {
          closeLink(node, peer);
        }
      }
    },
    resetCounters: () => {
      for (const node of counters.keys()) {
        counters.set(node, emptyCounters());
      }
      store.resetCalls();
    },
  };
}

function entryVmsOf(document: ConfigurationDocument): readonly EntryVm[] {
  const section = document.get('topology');
  return section?.kind === 'topology' ? section.topology.entryVms : [];
}

function listedVms(
  nodes: Iterable<VmId>,
  dead: ReadonlySet<VmId>,
): readonly ListedVm[] {
  const listed: ListedVm[] = [];
  for (const vm of nodes) {
    if (!dead.has(vm)) {
      listed.push({vm, incarnation: incarnation(`${vm}-1`), state: 'live'});
    }
  }
  return listed;
}

function emptyCounters(): NodeCounters {
  return {
    messages: 0,
    bytes: 0,
    channels: {membership: 0, configuration: 0, steering: 0},
  };
}
