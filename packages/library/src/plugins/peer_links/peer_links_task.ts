/**
 * Maintains the links that membership requests, and links on demand while they
 * are in use.
 */
import type {EntryVm, VmId} from '@ibisbeam/decision';
import {WebSocket} from 'ws';
import {queryConfiguredEntryVms} from '../../core/configuration/index.js';
import type {Task, TaskContext} from '../../core/kernel/index.js';
import type {TaskMessages, VmEvent} from '../../core/messages/index.js';
import {type DialOutcome, createDialSchedule} from './dial_schedule.js';
import {type Link, type LinkEndReason, startLink} from './link.js';
import {createPeerServer} from './peer_server.js';
import {type SendQueue, createSendQueue} from './send_queue.js';
import {
  type Greeting,
  MAXIMUM_FRAME_BYTES,
  type PeerMessage,
  encodeMessageBody,
} from './wire.js';

const TOKEN_LIFETIME_MS = 60_000;
const DIAL_TIMEOUT_MS = 3_000;
const MAINTENANCE_INTERVAL_MS = 250;
/** A link that membership has not requested is closed after this idle time. */
const IDLE_TIMEOUT_MS = 30_000;
/** Links dialled on demand, besides those that membership requests. */
const MAXIMUM_LINKS_ON_DEMAND = 16;

interface Peer {
  readonly queue: SendQueue;
  link?: Link;
  /** The end that dialled; decides between two links to the same peer. */
  dialledBy?: VmId;
  dialling: boolean;
  lastUsedMs: number;
}

export function createPeerLinksTask(context: TaskContext): Task<'peer_links'> {
  const {settings, timers, logger, metrics} = context;
  const self = settings.vm.id;
  const peers = new Map<VmId, Peer>();
  const addresses = new Map<VmId, string>();
  const vmBySeed = new Map<string, VmId>();
  const seedsDialling = new Set<string>();
  const dialSchedule = createDialSchedule(context.random);
  let wantedPeers: ReadonlySet<VmId> = new Set();
  let stopped = false;
  let cancelMaintenance = () => {};
  const runningLinks = new Set<{close(): void}>();
  const server = createPeerServer({
    address: settings.listen.peer,
    tokenVerifier: context.tokenVerifier,
    onSocket: (socket, peer) => void openLink(socket, peer, peer),
    onRefused: cause => {
      metrics.emit({kind: 'count', name: 'peer.rejected', tags: {cause}});
      logger.log('warn', 'peer-refused', {cause});
    },
  });

  function getOrCreatePeer(vm: VmId): Peer {
    let peer = peers.get(vm);
    if (!peer) {
      peer = {
        queue: createSendQueue(),
        dialling: false,
        lastUsedMs: timers.nowMs(),
      };
      peers.set(vm, peer);
    }
    return peer;
  }

  function signOwnToken(): Promise<string> {
    return context.tokenSigner.sign(
      {kind: 'vm', vm: self, region: settings.vm.region},
      'ibisbeam-peer',
      TOKEN_LIFETIME_MS,
    );
  }

  /**
   * @param expected The VM that the greeting must name: that of the token if the
   *   peer dialled, or of the configuration if this VM dialled; undefined if
   *   this VM dialled a seed.
   */
  async function openLink(
    socket: WebSocket,
    dialledBy: VmId,
    expected: VmId | undefined,
  ): Promise<void> {
    const dialledLocally = dialledBy === self;
    const token = dialledLocally ? undefined : await signOwnToken();
    if (socket.readyState !== WebSocket.OPEN) {
      return;
    }
    let link: Link | undefined;
    const running = startLink({
      socket,
      timers,
      ownIdentity: {vm: self, incarnation: context.incarnation, token},
      silenceTimeoutMs: settings.membership.suspectAfterMs * 2,
      acceptGreeting: greeting =>
        acceptGreeting(greeting, expected, dialledLocally),
      onOpen: opened => {
        link = opened;
        adoptLink(opened, dialledBy);
      },
      onMessages: messages => {
        if (link) {
          handleMessages(link, messages);
        }
      },
      onEnd: end => {
        runningLinks.delete(running);
        handleLinkEnd(link, end);
      },
    });
    runningLinks.add(running);
  }

  /** The dialled peer authenticates with the token in its greeting. */
  async function acceptGreeting(
    greeting: Greeting,
    expected: VmId | undefined,
    dialledLocally: boolean,
  ): Promise<boolean> {
    if (greeting.vm === self) {
      return false;
    }
    if (expected !== undefined && greeting.vm !== expected) {
      return false;
    }
    if (!dialledLocally) {
      return true;
    }
    const verified = await context.tokenVerifier.verify(
      greeting.token,
      'ibisbeam-peer',
    );
    const principal = verified.toMaybe().extractNullable();
    return principal?.kind === 'vm' && principal.vm === greeting.vm;
  }

  /**
   * If both ends dial at the same time, both keep the link that the VM with
   * the lower id dialled. A link to a new incarnation, or a second link from
   * the same end, replaces the existing one.
   */
  function adoptLink(link: Link, dialledBy: VmId): void {
    const peer = getOrCreatePeer(link.peer);
    const previousLink = peer.link;
    const lowerId = self < link.peer ? self : link.peer;
    if (
      previousLink?.incarnation === link.incarnation &&
      peer.dialledBy !== dialledBy &&
      dialledBy !== lowerId
    ) {
      link.close();
      return;
    }
    peer.link = link;
    peer.dialledBy = dialledBy;
    peer.lastUsedMs = timers.nowMs();
    dialSchedule.ended(link.peer, 'opened', timers.nowMs());
    previousLink?.close();
    if (previousLink?.incarnation !== link.incarnation) {
      logger.log('info', 'peer-connected', {
        peer: link.peer,
        incarnation: link.incarnation,
      });
      context.publish({kind: 'peer-connected', peer: link.peer});
    }
    link.flush(peer.queue);
  }

  function handleLinkEnd(link: Link | undefined, end: LinkEndReason): void {
    if (end === 'greeting-refused' || end === 'malformed') {
      metrics.emit({kind: 'count', name: 'peer.rejected', tags: {cause: end}});
      logger.log('warn', 'peer-refused', {peer: link?.peer, cause: end});
    }
    const peer = link && peers.get(link.peer);
    if (!peer || peer.link !== link) {
      return;
    }
    peer.link = undefined;
    peer.dialledBy = undefined;
    if (stopped) {
      return;
    }
    logger.log('info', 'peer-disconnected', {peer: link.peer, cause: end});
    context.publish({kind: 'peer-disconnected', peer: link.peer});
  }

  function handleMessages(link: Link, messages: readonly PeerMessage[]): void {
    const peer = peers.get(link.peer);
    if (peer?.link !== link) {
      return;
    }
    for (const {channel, body} of messages) {
      if (channel !== 'membership') {
        peer.lastUsedMs = timers.nowMs();
      }
      metrics.emit({kind: 'count', name: 'peer.messages', tags: {channel}});
      context.publish({kind: 'peer-message', from: link.peer, channel, body});
    }
  }

  async function dial(
    address: string,
    expected: VmId | undefined,
    onEnded: (outcome: DialOutcome) => void,
  ): Promise<void> {
    const authorization = `Bearer ${await signOwnToken()}`;
    if (stopped) {
      return;
    }
    const socket = new WebSocket(`ws://${address}/`, {
      headers: {authorization},
      handshakeTimeout: DIAL_TIMEOUT_MS,
      maxPayload: MAXIMUM_FRAME_BYTES,
      perMessageDeflate: false,
    });
    socket.once('open', () => {
      onEnded('opened');
      void openLink(socket, self, expected);
    });
    socket.once('error', () => onEnded('failed'));
  }

  function dialPeer(vm: VmId): void {
    const address = addresses.get(vm);
    const peer = getOrCreatePeer(vm);
    const nowMs = timers.nowMs();
    const blocked =
      peer.link || peer.dialling || !dialSchedule.mayDial(vm, nowMs);
    if (address === undefined || blocked) {
      return;
    }
    peer.dialling = true;
    dialSchedule.began(vm, nowMs);
    void dial(address, vm, outcome => {
      peer.dialling = false;
      if (outcome === 'failed') {
        dialSchedule.ended(vm, outcome, timers.nowMs());
      }
    });
  }

  /** Seeds have no VM id; they are used until the peer addresses are known. */
  function dialSeeds(): void {
    if (addresses.size > 0) {
      return;
    }
    const nowMs = timers.nowMs();
    for (const seed of settings.seeds) {
      const reached = vmBySeed.get(seed);
      const linked = reached !== undefined && peers.get(reached)?.link;
      if (
        linked ||
        seedsDialling.has(seed) ||
        !dialSchedule.mayDial(seed, nowMs)
      ) {
        continue;
      }
      seedsDialling.add(seed);
      dialSchedule.began(seed, nowMs);
      void dial(seed, undefined, outcome => {
        seedsDialling.delete(seed);
        dialSchedule.ended(seed, outcome, timers.nowMs());
      });
    }
  }

  function send(message: {
    readonly to: VmId;
    readonly channel: PeerMessage['channel'];
    readonly body: unknown;
  }): void {
    if (message.to === self) {
      return;
    }
    const peer = getOrCreatePeer(message.to);
    if (message.channel !== 'membership') {
      peer.lastUsedMs = timers.nowMs();
    }
    const bytes = encodeMessageBody(message.body).byteLength;
    const dropped = peer.queue.add(message, bytes);
    if (dropped > 0) {
      const tags = {channel: message.channel};
      metrics.emit({kind: 'count', name: 'peer.dropped', value: dropped, tags});
    }
    if (peer.link) {
      peer.link.flush(peer.queue);
      return;
    }
    dialPeer(message.to);
  }

  /** Closes idle links, removes idle peers and dials missing links. */
  function maintainLinks(): void {
    const nowMs = timers.nowMs();
    const onDemand: [VmId, Peer][] = [];
    for (const [vm, peer] of peers) {
      if (wantedPeers.has(vm)) {
        continue;
      }
      if (nowMs - peer.lastUsedMs > IDLE_TIMEOUT_MS) {
        peer.link?.close();
        peers.delete(vm);
        dialSchedule.forget(vm);
      } else if (peer.dialledBy === self) {
        onDemand.push([vm, peer]);
      }
    }
    closeLeastRecentlyUsed(onDemand);
    for (const vm of wantedPeers) {
      dialPeer(vm);
    }
    dialSeeds();
  }

  function closeLeastRecentlyUsed(onDemand: [VmId, Peer][]): void {
    onDemand.sort(([, one], [, other]) => one.lastUsedMs - other.lastUsedMs);
    const excess = Math.max(0, onDemand.length - MAXIMUM_LINKS_ON_DEMAND);
    for (const [, peer] of onDemand.slice(0, excess)) {
      peer.link?.close();
    }
  }

  function updateAddresses(entryVms: Iterable<EntryVm>): void {
    addresses.clear();
    for (const {id, peerAddress} of entryVms) {
      if (id !== self) {
        addresses.set(id, peerAddress);
      }
    }
  }

  return {
    start: async () => {
      await server.start();
      const known = await queryConfiguredEntryVms(context);
      updateAddresses(known?.entryVms ?? []);
      const handle = timers.every(MAINTENANCE_INTERVAL_MS, maintainLinks);
      cancelMaintenance = () => handle.cancel();
      maintainLinks();
    },
    stop: async () => {
      stopped = true;
      cancelMaintenance();
      for (const running of [...runningLinks]) {
        running.close();
      }
      await server.stop();
    },
    receive: (message: TaskMessages['peer_links']) => {
      switch (message.kind) {
        case 'send':
          send(message);
          return;
        case 'set-peers':
          wantedPeers = new Set(message.peers.filter(vm => vm !== self));
          maintainLinks();
          return;
        case 'status':
          message.reply(listLinkedPeers());
          return;
      }
    },
    observe: (event: VmEvent) => {
      if (event.kind === 'configuration-in-force') {
        updateAddresses(event.configuration.entryVms.values());
      }
    },
  };

  function listLinkedPeers(): readonly VmId[] {
    const linked: VmId[] = [];
    for (const [vm, peer] of peers) {
      if (peer.link) {
        linked.push(vm);
      }
    }
    return linked;
  }
}
