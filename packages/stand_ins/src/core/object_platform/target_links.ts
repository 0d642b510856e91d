/**
 * The connections of one gateway to the targets, through relays on loopback, so
 * that this gateway alone can be partitioned from all targets.
 */
import {
  type AddressInfo,
  type Server,
  type Socket,
  connect as connectSocket,
  createServer,
} from 'node:net';
import type {TargetAddress} from '@ibisbeam/gateway';

/** What a partition does to connections. */
export type LinkFault =
  /** Established connections and new ones hang. */
  | 'hang'
  /** Established connections are reset, new ones refused. */
  | 'reset'
  /** Established connections live on, new ones are refused. */
  | 'refuse-new';

export interface TargetLinks {
  /** Connects to the target that listens at the address. */
  connect(address: TargetAddress): Socket;
  /** Must follow before the gateway hears of the target. */
  addTarget(address: TargetAddress): Promise<void>;
  cut(fault: LinkFault): void;
  /** Established connections hang, also after `restore`; new ones work. */
  silenceOpen(): void;
  restore(): void;
  close(): void;
}

interface RelayedConnection {
  readonly near: Socket;
  readonly far: Socket;
}

/** Nothing listens at it. */
const REFUSING_ADDRESS: TargetAddress = {host: '127.0.0.1', port: 1};

export function createTargetLinks(): TargetLinks {
  const relays = new Map<string, Server>();
  const relayed = new Set<RelayedConnection>();
  const silent = new Set<RelayedConnection>();
  let fault: LinkFault | undefined;

  function relay(near: Socket, address: TargetAddress): void {
    const far = connectSocket(address);
    const connection = {near, far};
    relayed.add(connection);
    for (const [from, to] of [
      [near, far],
      [far, near],
    ] as const) {
      from.setNoDelay(true);
      from.on('data', chunk => to.write(chunk));
      from.on('end', () => to.end());
      from.on('error', () => to.resetAndDestroy());
      from.on('close', () => {
        relayed.delete(connection);
        to.destroy();
      });
    }
    if (fault === 'hang') {
      hang(connection);
    }
  }

  function addTarget(address: TargetAddress): Promise<void> {
    const server = createServer(near => relay(near, address));
    relays.set(keyOf(address), server);
    return new Promise(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
  }

  function connect(address: TargetAddress): Socket {
    switch (fault) {
      case 'hang':
        return connectSocket({host: 'hangs', port: 1, lookup: () => {}});
      case 'reset':
      case 'refuse-new':
        return connectSocket(REFUSING_ADDRESS);
      case undefined: {
        const server = relays.get(keyOf(address));
        const local = server?.address() as AddressInfo | undefined;
        return connectSocket(
          local ? {host: '127.0.0.1', port: local.port} : address,
        );
      }
    }
  }

  function cut(next: LinkFault): void {
    fault = next;
    for (const connection of relayed) {
      switch (next) {
        case 'hang':
          hang(connection);
          break;
        case 'reset':
          connection.near.resetAndDestroy();
          break;
        case 'refuse-new':
          break;
      }
    }
  }

  function silenceOpen(): void {
    for (const connection of relayed) {
      relayed.delete(connection);
      silent.add(connection);
      hang(connection);
    }
  }

  function restore(): void {
    fault = undefined;
    for (const {near, far} of relayed) {
      near.resume();
      far.resume();
    }
  }

  function close(): void {
    for (const server of relays.values()) {
      server.close();
    }
    for (const {near, far} of [...relayed, ...silent]) {
      near.destroy();
      far.destroy();
    }
  }

  return {connect, addTarget, cut, silenceOpen, restore, close};
}

/** What is sent waits unread until the sockets are resumed. */
function hang({near, far}: RelayedConnection): void {
  near.pause();
  far.pause();
}

function keyOf({host, port}: TargetAddress): string {
  return `${host}:${port}`;
}
