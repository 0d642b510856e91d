/** Loopback proxy that injects faults into a VM's connections to the store. */
import {type Server, type Socket, connect, createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import type {TimerService} from '@ibisbeam/library';

export type ProxyMode =
  | 'pass'
  /** Drops all data in both directions; connections stay open. */
  | 'silent'
  /** Drops responses; requests still reach the store. */
  | 'one-way'
  | 'slow'
  /** Resets open connections and every new one. */
  | 'reset';

export interface StoreProxy {
  readonly port: number;
  setMode(mode: ProxyMode): void;
  mode(): ProxyMode;
  close(): void;
}

const SLOW_DELAY_MS = 150;

export async function startStoreProxy(
  target: {readonly host: string; readonly port: number},
  timers: Pick<TimerService, 'after'>,
): Promise<StoreProxy> {
  let mode: ProxyMode = 'pass';
  const sockets = new Set<Socket>();

  const server: Server = createServer(downstream => {
    if (mode === 'reset') {
      downstream.resetAndDestroy();
      return;
    }
    const upstream = connect(target.port, target.host);
    for (const socket of [downstream, upstream]) {
      sockets.add(socket);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        sockets.delete(socket);
        downstream.destroy();
        upstream.destroy();
      });
    }
    relay(downstream, upstream, ['silent']);
    relay(upstream, downstream, ['silent', 'one-way']);
  });

  function relay(
    from: Socket,
    to: Socket,
    blockingModes: readonly ProxyMode[],
  ): void {
    from.on('data', (data: Buffer) => {
      if (blockingModes.includes(mode)) {
        return;
      }
      const delayMs = mode === 'slow' ? SLOW_DELAY_MS : 0;
      timers.after(delayMs, () => {
        if (!to.destroyed) {
          to.write(data);
        }
      });
    });
  }

  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    mode: () => mode,
    setMode: next => {
      mode = next;
      if (next === 'reset') {
        for (const socket of sockets) {
          socket.resetAndDestroy();
        }
      }
    },
    close: () => {
      server.close();
      for (const socket of sockets) {
        socket.destroy();
      }
    },
  };
}
