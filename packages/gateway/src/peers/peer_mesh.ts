/**
 * WebSocket links between gateways. Each gateway dials all peers it knows,
 * validates received messages, and redials links that have timed out.
 */
import type {Server} from 'node:http';
import {Packr} from 'msgpackr';
import {WebSocket, WebSocketServer} from 'ws';
import type {Logger, TimerHandle, TimerService} from '@ibisbeam/library';
import {createBodilessServer} from '../core/bodiless_server.js';
import type {InputFault} from '../core/input_faults.js';
import type {HostAndPort} from '../core/settings.js';
import type {TrafficMeter} from '../traffic_meter.js';
import {type Audience, HEARTBEAT_INTERVAL_MS} from './heartbeat_schedule.js';
import {countMessageValues} from './message_values.js';
import {
  type PeerMessage,
  type VmRecord,
  peerMessageSchema,
} from './messages.js';

export interface PeerMeshOptions {
  readonly self: VmRecord;
  /** Told to peers, which prove by it that they relay a request. */
  readonly relayToken: string;
  /** Peers are dialled at the same port. */
  readonly listen: HostAndPort;
  /** Hosts dialled while there is no link to any peer. */
  readonly seeds: readonly string[];
  readonly timers: TimerService;
  readonly log: Logger;
  /** Counts what is sent. */
  readonly traffic: Pick<TrafficMeter, 'record'>;
  /**
   * Called when a peer gets a link, also in place of one that it has lost; not
   * when one of two links that were dialled at the same moment goes.
   */
  onPeerConnected(vm: VmRecord): void;
  onMessage(from: VmRecord, message: PeerMessage): void;
  /** A peer has sent what is read no further; its link is closed. */
  onRefusedInput?(fault: InputFault): void;
}

export interface PeerMesh {
  listen(): Promise<void>;
  /** Adds peers discovered elsewhere, such as in the store. */
  addPeers(vms: readonly VmRecord[]): void;
  /** Drops the message if there is no link to the VM. */
  send(vmId: string, message: PeerMessage): void;
  /** Sends the message to peers with a link, by default to all of them. */
  broadcast(message: PeerMessage, audience?: Audience): void;
  /** Whether the VM is one of those that need fewer heartbeats. */
  isFar(vmId: string): boolean;
  /**
   * Peers from which a message was received in the last `spanMs`, which is
   * longer for those that have said that they send fewer heartbeats.
   */
  peersHeardWithin(spanMs: number): readonly VmRecord[];
  /** All peers not removed yet, including those never reached. */
  knownPeers(): readonly VmRecord[];
  /** What the peer wants to see in relayed requests; undefined if nothing. */
  relayTokenOf(vmId: string): string | undefined;
  close(): void;
}

/**
 * A link on which nothing was received for this time is closed; later if the
 * peer has said that it sends fewer heartbeats.
 */
const LINK_IDLE_TIMEOUT_MS = 1_500;
/**
 * Links with less time between them may come from two VMs that have dialled
 * each other at once. A later one shows that the peer has lost the first.
 */
const SIMULTANEOUS_DIAL_MS = 900;
const DIAL_TIMEOUT_MS = 600;
const DIAL_INTERVAL_MS = 250;
/** Delay after the first failed dial, doubled on each further failure. */
const INITIAL_REDIAL_DELAY_MS = 300;
const MAXIMUM_REDIAL_DELAY_MS = 3_000;
/**
 * Two VMs that learn of each other at the same time would both dial. The one
 * whose identifier sorts last leaves the other this time.
 */
const FIRST_DIAL_COURTESY_MS = 500;
/**
 * Peers told of in one greeting. All of them in every greeting would make the
 * start of a fleet cost the cube of its size.
 */
const MAXIMUM_TOLD_PEERS = 16;
/** Longest time between heartbeats that a peer may ask to be granted. */
const MAXIMUM_HEARTBEAT_INTERVAL_MS = 2_000;
/** Peers silent for longer are removed. */
const PEER_RETENTION_MS = 60_000;
/** A link with more unsent bytes is closed. */
const MAXIMUM_BACKLOG_BYTES = 8 * 1_048_576;
const MAXIMUM_MESSAGE_BYTES = MAXIMUM_BACKLOG_BYTES;
/** Fits a copy of 20,000 targets. */
const MAXIMUM_MESSAGE_VALUES = 600_000;
/** Shorter messages cannot have too many values. */
const UNCOUNTED_MESSAGE_BYTES = MAXIMUM_MESSAGE_VALUES;
/** Fits the 2,000 peers that a greeting may name. */
const MAXIMUM_HELLO_BYTES = 1_048_576;
/** Gateways send every message whole. */
const MAXIMUM_FRAGMENTS = 64;
/** Fits the longest message in reads of some 500 bytes. */
const MAXIMUM_BUFFERED_CHUNKS = 16_384;
/** Between two messages. Gateways send none. */
const MAXIMUM_PINGS = 64;
const MAXIMUM_UNREAD_PONG_BYTES = 65_536;
const MAXIMUM_PEERS = 4_096;
/** Links that have not told yet from whom they come. */
const MAXIMUM_LINKS_WITHOUT_HELLO = 512;
const LINK_LIMITS = {
  autoPong: false,
  perMessageDeflate: false,
  maxBufferedChunks: MAXIMUM_BUFFERED_CHUNKS,
  maxFragments: MAXIMUM_FRAGMENTS,
  maxPayload: MAXIMUM_MESSAGE_BYTES,
} as const;
/** The handshake may go on while bytes come, but for no longer. */
const MAXIMUM_HANDSHAKE_MS = 2 * DIAL_TIMEOUT_MS;
const UPGRADE_REQUIRED = 426;

interface Peer {
  record: VmRecord;
  link?: WebSocket;
  /** Start of the process at the other end of the link. */
  linkStartedWallMs?: number;
  dialing: boolean;
  failures: number;
  nextDialMs: number;
  lastReceivedMs: number;
  /** Time by which its heartbeats are further apart than usual. */
  slackMs: number;
  /** Whether it needs fewer heartbeats from other regions. */
  readsNextWithin: boolean;
  relayToken: string | undefined;
}

export function createPeerMesh(options: PeerMeshOptions): PeerMesh {
  const {self, timers, log} = options;
  const peers = new Map<string, Peer>();
  const packer = new Packr({useRecords: false});
  const links = new Set<WebSocket>();
  const linkLastReceivedMs = new WeakMap<WebSocket, number>();
  const linkOpenedMs = new WeakMap<WebSocket, number>();
  const peerOfLink = new WeakMap<WebSocket, Peer>();
  const dialerIds = new WeakMap<WebSocket, string>();
  const linksWithoutHello = new Set<WebSocket>();
  const nextSeedDialMs = new Map<string, number>();
  /** Where the next greeting goes on. */
  let nextToldPeer = 0;
  let server: Server | undefined;
  let ticker: TimerHandle | undefined;
  let closed = false;

  function addPeers(vms: readonly VmRecord[]): void {
    for (const vm of vms) {
      if (vm.id === self.id) {
        continue;
      }
      const known = peers.get(vm.id);
      if (!known && peers.size >= MAXIMUM_PEERS) {
        continue;
      }
      if (!known) {
        peers.set(vm.id, {
          record: vm,
          dialing: false,
          failures: 0,
          nextDialMs:
            vm.id < self.id ? timers.nowMs() + FIRST_DIAL_COURTESY_MS : 0,
          lastReceivedMs: timers.nowMs() - PEER_RETENTION_MS / 2,
          slackMs: 0,
          readsNextWithin: false,
          relayToken: undefined,
        });
        continue;
      }
      if (vm.startedWallMs > known.record.startedWallMs) {
        known.record = vm;
        known.failures = 0;
        known.nextDialMs = 0;
      }
    }
  }

  /** Other peers each time, until all have been told of. */
  function takePeersToTell(): VmRecord[] {
    const all = [...peers.values()];
    const count = Math.min(all.length, MAXIMUM_TOLD_PEERS);
    const told: VmRecord[] = [];
    while (told.length < count) {
      const peer = all[nextToldPeer % all.length];
      nextToldPeer += 1;
      if (peer) {
        told.push(peer.record);
      }
    }
    return told;
  }

  function helloMessage(): PeerMessage {
    const known = takePeersToTell();
    const {relayToken} = options;
    return {kind: 'hello', vm: self, known, readsNextWithin: true, relayToken};
  }

  function attachLink(
    link: WebSocket,
    peerAddress: string,
    isOutbound: boolean,
  ): void {
    if (!isOutbound && linksWithoutHello.size >= MAXIMUM_LINKS_WITHOUT_HELLO) {
      link.terminate();
      return;
    }
    links.add(link);
    linksWithoutHello.add(link);
    linkOpenedMs.set(link, timers.nowMs());
    linkLastReceivedMs.set(link, timers.nowMs());
    const hello = packer.pack(helloMessage());
    let from: VmRecord | undefined;
    let pings = 0;

    function refuse(fault: InputFault, cause: string = fault): void {
      if (!links.has(link)) {
        return;
      }
      links.delete(link);
      log.log('warn', 'peer-refused', {peer: from?.id ?? peerAddress, cause});
      options.onRefusedInput?.(fault);
      link.terminate();
    }

    function onPing(data: Buffer): void {
      pings += 1;
      if (pings > MAXIMUM_PINGS) {
        refuse('unexpected', 'pings without end');
      } else if (link.bufferedAmount <= MAXIMUM_UNREAD_PONG_BYTES) {
        link.pong(data);
      }
    }

    link.on('ping', onPing);
    link.on('pong', () => {
      pings += 1;
      if (pings > MAXIMUM_PINGS) {
        refuse('unexpected', 'pongs without end');
      }
    });
    link.on('message', (data, isBinary) => {
      if (!links.has(link)) {
        return;
      }
      pings = 0;
      linkLastReceivedMs.set(link, timers.nowMs());
      const bytes = data as Buffer;
      const fault = isBinary ? messageFault(bytes, from) : 'malformed';
      if (fault) {
        refuse(fault);
        return;
      }
      const message = decode(bytes);
      if (!message) {
        log.log('warn', 'peer-refused', {peer: from?.id ?? peerAddress});
        return;
      }
      if (message.kind === 'hello') {
        from = message.vm;
        linksWithoutHello.delete(link);
        dialerIds.set(link, isOutbound ? self.id : message.vm.id);
        options.traffic.record('hello', message.vm, hello.length);
        onHello(link, message);
        return;
      }
      if (!from) {
        refuse('unexpected', 'no greeting');
        return;
      }
      const peer = peers.get(from.id);
      if (peer) {
        peer.lastReceivedMs = timers.nowMs();
      }
      if (peer && message.kind === 'heartbeat') {
        peer.slackMs = slackMs(message.nextWithinMs);
      }
      options.onMessage(from, message);
    });
    link.on('close', () => {
      links.delete(link);
      linksWithoutHello.delete(link);
      if (from) {
        detachLink(from.id, link);
      }
    });
    link.on('error', (error: NodeJS.ErrnoException) => {
      const fault = linkFault(error);
      if (fault) {
        refuse(fault, error.message);
        return;
      }
      log.log('debug', 'peer-link-failed', {
        peer: from?.id ?? peerAddress,
        cause: error.message,
      });
    });
    sendBytes(link, hello);
  }

  function onHello(
    link: WebSocket,
    hello: Extract<PeerMessage, {kind: 'hello'}>,
  ): void {
    const {vm, known, readsNextWithin = false, relayToken} = hello;
    if (vm.id === self.id) {
      link.terminate();
      return;
    }
    addPeers([vm, ...known]);
    const peer = peers.get(vm.id);
    if (!peer) {
      return;
    }
    const existing = peer.link;
    let hasLink = existing === link;
    if (existing && existing !== link) {
      hasLink = isDuplicateLink(existing, peer, vm);
      if (hasLink && dialerSortsBefore(existing, link)) {
        link.terminate();
        return;
      }
      existing.terminate();
    }
    peer.link = link;
    peer.slackMs = 0;
    peer.readsNextWithin = readsNextWithin;
    peer.relayToken = relayToken;
    peerOfLink.set(link, peer);
    peer.linkStartedWallMs = vm.startedWallMs;
    peer.failures = 0;
    peer.lastReceivedMs = timers.nowMs();
    if (!hasLink) {
      log.log('info', 'peer-connected', {peer: vm.id});
      options.onPeerConnected(vm);
    }
  }

  /** Whether a link that opens now was dialled at the same time as another. */
  function isDuplicateLink(
    existing: WebSocket,
    peer: Peer,
    vm: VmRecord,
  ): boolean {
    if (peer.linkStartedWallMs !== vm.startedWallMs) {
      return false;
    }
    const openedMs = linkOpenedMs.get(existing) ?? -Infinity;
    return timers.nowMs() - openedMs <= SIMULTANEOUS_DIAL_MS;
  }

  /**
   * When two VMs dial each other at the same time, both keep the link dialled
   * by the VM whose identifier sorts first. Otherwise each could keep the link
   * that the other closes.
   */
  function dialerSortsBefore(existing: WebSocket, link: WebSocket): boolean {
    return (dialerIds.get(existing) ?? '') < (dialerIds.get(link) ?? '');
  }

  function detachLink(vmId: string, link: WebSocket): void {
    const peer = peers.get(vmId);
    if (peer?.link !== link) {
      return;
    }
    peer.link = undefined;
    log.log('info', 'peer-disconnected', {
      peer: vmId,
      silentMs: Math.round(timers.nowMs() - peer.lastReceivedMs),
    });
  }

  function decode(data: Buffer): PeerMessage | undefined {
    try {
      const parsed = peerMessageSchema.safeParse(packer.unpack(data));
      return parsed.success ? parsed.data : undefined;
    } catch (error) {
      log.log('warn', 'peer-refused', {cause: String(error)});
      return undefined;
    }
  }

  function sendTo(
    {record, link}: Peer,
    kind: PeerMessage['kind'],
    bytes: Buffer,
  ): void {
    // The peer would end the link, and with it all that others need it for.
    if (!isReadable(bytes)) {
      log.log('warn', 'peer-message-withheld', {
        peer: record.id,
        kind,
        bytes: bytes.length,
      });
      return;
    }
    if (link && sendBytes(link, bytes)) {
      options.traffic.record(kind, record, bytes.length);
    }
  }

  /** Returns whether the link takes the bytes. */
  function sendBytes(link: WebSocket, bytes: Buffer): boolean {
    if (link.readyState !== WebSocket.OPEN) {
      return false;
    }
    if (link.bufferedAmount > MAXIMUM_BACKLOG_BYTES) {
      log.log('warn', 'peer-backlog', {bytes: link.bufferedAmount});
      link.terminate();
      return false;
    }
    link.send(bytes);
    return true;
  }

  /** Undefined if the host, which a registration names, is invalid in a URL. */
  function openLink(host: string): WebSocket | undefined {
    try {
      return new WebSocket(`ws://${host}:${options.listen.port}`, {
        ...LINK_LIMITS,
        handshakeTimeout: DIAL_TIMEOUT_MS,
      });
    } catch (error) {
      log.log('debug', 'peer-link-failed', {
        peer: host,
        cause: String(error),
      });
      return undefined;
    }
  }

  function dial(host: string, onDone: (opened: boolean) => void): void {
    const link = openLink(host);
    if (!link) {
      onDone(false);
      return;
    }
    let opened = false;
    const handshakeTimer = timers.after(MAXIMUM_HANDSHAKE_MS, () =>
      link.terminate(),
    );
    link.on('close', () => handshakeTimer.cancel());
    link.on('open', () => {
      opened = true;
      handshakeTimer.cancel();
      if (closed) {
        link.terminate();
        return;
      }
      attachLink(link, host, true);
      onDone(true);
    });
    link.on('error', () => {
      if (!opened) {
        onDone(false);
      }
    });
  }

  function tick(): void {
    const nowMs = timers.nowMs();
    for (const link of links) {
      const silentMs = nowMs - (linkLastReceivedMs.get(link) ?? nowMs);
      const graceMs = peerOfLink.get(link)?.slackMs ?? 0;
      if (silentMs > LINK_IDLE_TIMEOUT_MS + graceMs) {
        link.terminate();
      }
    }
    for (const [id, peer] of peers) {
      if (peer.link || peer.dialing) {
        continue;
      }
      if (nowMs - peer.lastReceivedMs > PEER_RETENTION_MS) {
        peers.delete(id);
        continue;
      }
      if (nowMs >= peer.nextDialMs) {
        dialPeer(peer);
      }
    }
    dialSeeds(nowMs);
  }

  function dialPeer(peer: Peer): void {
    peer.dialing = true;
    dial(peer.record.host, opened => {
      peer.dialing = false;
      if (opened) {
        peer.nextDialMs = timers.nowMs() + DIAL_TIMEOUT_MS;
        return;
      }
      peer.failures += 1;
      const delayMs = Math.min(
        MAXIMUM_REDIAL_DELAY_MS,
        INITIAL_REDIAL_DELAY_MS * 2 ** (peer.failures - 1),
      );
      peer.nextDialMs = timers.nowMs() + delayMs;
    });
  }

  function dialSeeds(nowMs: number): void {
    if (links.size > 0) {
      return;
    }
    for (const host of options.seeds) {
      if (host === self.host || nowMs < (nextSeedDialMs.get(host) ?? 0)) {
        continue;
      }
      nextSeedDialMs.set(host, nowMs + DIAL_TIMEOUT_MS);
      dial(host, () => {});
    }
  }

  function listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      const httpServer = createBodilessServer({
        onRequest: (_incoming, outgoing) => {
          outgoing.writeHead(UPGRADE_REQUIRED, {Connection: 'close'});
          outgoing.end(() => outgoing.socket?.destroy());
        },
        onRefused: fault => options.onRefusedInput?.(fault),
      });
      server = httpServer;
      const acceptor = new WebSocketServer({...LINK_LIMITS, noServer: true});
      httpServer.once('error', reject);
      httpServer.on('upgrade', (request, socket, head) => {
        acceptor.handleUpgrade(request, socket, head, link =>
          attachLink(link, request.socket.remoteAddress ?? 'unknown', false),
        );
      });
      httpServer.listen(options.listen.port, options.listen.host, resolve);
      ticker ??= timers.every(DIAL_INTERVAL_MS, tick);
      tick();
    });
  }

  function broadcast(message: PeerMessage, audience: Audience = 'all'): void {
    const bytes = packer.pack(message);
    for (const peer of peers.values()) {
      if (isIn(audience, peer)) {
        sendTo(peer, message.kind, bytes);
      }
    }
  }

  function isIn(audience: Audience, peer: Peer): boolean {
    switch (audience) {
      case 'all':
        return true;
      case 'near':
        return !isFar(peer);
      case 'far':
        return isFar(peer);
    }
  }

  function isFar({record, readsNextWithin}: Peer): boolean {
    return readsNextWithin && record.region !== self.region;
  }

  return {
    listen,
    addPeers,
    send: (vmId, message) => {
      const peer = peers.get(vmId);
      if (peer) {
        sendTo(peer, message.kind, packer.pack(message));
      }
    },
    broadcast,
    isFar: vmId => {
      const peer = peers.get(vmId);
      return peer !== undefined && isFar(peer);
    },
    peersHeardWithin: spanMs => {
      const sinceMs = timers.nowMs() - spanMs;
      const heard: VmRecord[] = [];
      for (const peer of peers.values()) {
        if (peer.lastReceivedMs >= sinceMs - peer.slackMs) {
          heard.push(peer.record);
        }
      }
      return heard;
    },
    knownPeers: () => [...peers.values()].map(peer => peer.record),
    relayTokenOf: vmId => peers.get(vmId)?.relayToken,
    close: () => {
      closed = true;
      ticker?.cancel();
      for (const link of links) {
        link.terminate();
      }
      server?.close();
      server?.closeAllConnections();
    },
  };
}

function slackMs(nextWithinMs = HEARTBEAT_INTERVAL_MS): number {
  const intervalMs = Math.min(MAXIMUM_HEARTBEAT_INTERVAL_MS, nextWithinMs);
  return Math.max(0, intervalMs - HEARTBEAT_INTERVAL_MS);
}

/** Whether peers take the message. */
function isReadable(bytes: Buffer): boolean {
  if (bytes.length <= UNCOUNTED_MESSAGE_BYTES) {
    return true;
  }
  const values = countMessageValues(bytes) ?? Infinity;
  return (
    bytes.length <= MAXIMUM_MESSAGE_BYTES && values <= MAXIMUM_MESSAGE_VALUES
  );
}

/** Undefined if the message may be decoded. */
function messageFault(
  data: Buffer,
  from: VmRecord | undefined,
): InputFault | undefined {
  if (!from && data.length > MAXIMUM_HELLO_BYTES) {
    return 'long-body';
  }
  const values = countMessageValues(data);
  if (values === undefined) {
    return 'malformed';
  }
  return values > MAXIMUM_MESSAGE_VALUES ? 'many-values' : undefined;
}

/** Undefined for errors of the connection. */
function linkFault({code = ''}: NodeJS.ErrnoException): InputFault | undefined {
  switch (code) {
    case 'WS_ERR_UNSUPPORTED_MESSAGE_LENGTH':
      return 'long-body';
    case 'WS_ERR_TOO_MANY_BUFFERED_PARTS':
      return 'short-pieces';
    default:
      return code.startsWith('WS_ERR_') ? 'malformed' : undefined;
  }
}
