/**
 * Connection pools, one per target incarnation. A pool drops idle connections
 * that the target may be about to close, and those on which unsolicited bytes
 * arrive.
 */
import {Agent, type ClientRequest, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {TimerService} from '@ibisbeam/library';

export interface IdleConnectionLimits {
  /** Idle time after which a connection is not used again. */
  readonly maximumIdleMs: number;
  /** Idle connections that this VM may keep to the target. */
  readonly maximumCount: number;
}

export interface TargetAddress {
  readonly host: string;
  readonly port: number;
}

/** Opens a connection to a target. */
export type ConnectToTarget = (address: TargetAddress) => Socket;

export interface TargetConnectionsOptions {
  /** Default: a TCP connection. */
  readonly connect?: ConnectToTarget | undefined;
  /** Called when a connection is closed for them. */
  readonly onUnsolicitedBytes?: () => void;
}

export interface TargetConnections {
  /**
   * Returns the target's agent after closing its idle connections beyond the
   * limits, and those beyond the target's own idle timeout.
   */
  agentFor(incarnation: string, limits: IdleConnectionLimits): Agent;
  /** Marks a socket as used by a request, which expects to receive bytes. */
  markInUse(socket: Socket): void;
  /**
   * Closes the socket if it gets any bytes before it is in use again. Idle
   * sockets are treated so in any case.
   */
  expectNothing(socket: Socket): void;
  /** Records the idle timeout that the target states in Keep-Alive. */
  recordKeepAlive(request: ClientRequest, response: IncomingMessage): void;
  /** Closes the idle connections to a target. */
  closeIdle(incarnation: string): void;
  /**
   * Closes the idle connections to a target that have carried no answer since
   * the given time: they may be as silent as one that is in use.
   */
  closeUnusedSince(incarnation: string, sinceMs: number): void;
  /** Closes all idle connections. */
  closeAllIdle(): void;
  /** Closes the idle connections to a target, and others once they are idle. */
  retire(incarnation: string): void;
  /** Removes the pool; connections in use close after their requests. */
  removePool(incarnation: string): void;
  close(): void;
}

/** Idle limit for targets that state no idle timeout. */
const DEFAULT_IDLE_LIMIT_MS = 4_000;
/** Subtracted from the idle timeout that a target states. */
const IDLE_MARGIN_MS = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;

interface IdleState {
  freedAtMs: number;
  limitMs: number;
  readonly onUnsolicitedBytes: () => void;
}

export function createTargetConnections(
  timers: Pick<TimerService, 'nowMs'>,
  {connect, onUnsolicitedBytes}: TargetConnectionsOptions = {},
): TargetConnections {
  const agents = new Map<string, Agent>();
  const idleStates = new WeakMap<Socket, IdleState>();

  function idleStateOf(socket: Socket): IdleState {
    const known = idleStates.get(socket);
    if (known) {
      return known;
    }
    const state: IdleState = {
      freedAtMs: timers.nowMs(),
      limitMs: DEFAULT_IDLE_LIMIT_MS,
      onUnsolicitedBytes: () => {
        if (!socket.destroyed) {
          socket.destroy();
          onUnsolicitedBytes?.();
        }
      },
    };
    idleStates.set(socket, state);
    return state;
  }

  function expectNothing(socket: Socket): void {
    const state = idleStateOf(socket);
    socket.removeListener('data', state.onUnsolicitedBytes);
    socket.on('data', state.onUnsolicitedBytes);
  }

  function createAgent(maximumCount: number): Agent {
    const agent = new Agent({
      keepAlive: true,
      noDelay: true,
      maxFreeSockets: maximumCount,
      scheduling: 'fifo',
    });
    if (connect) {
      Object.assign(agent, {
        createConnection: ({host, port}: TargetAddress) =>
          connect({host, port}),
      });
    }
    agent.on('free', (socket: Socket) => {
      idleStateOf(socket).freedAtMs = timers.nowMs();
      expectNothing(socket);
    });
    return agent;
  }

  function agentFor(
    incarnation: string,
    {maximumIdleMs, maximumCount}: IdleConnectionLimits,
  ): Agent {
    const known = agents.get(incarnation);
    if (!known) {
      const agent = createAgent(maximumCount);
      agents.set(incarnation, agent);
      return agent;
    }
    known.maxFreeSockets = maximumCount;
    const nowMs = timers.nowMs();
    let kept = 0;
    for (const sockets of Object.values(known.freeSockets)) {
      for (const socket of sockets ?? []) {
        const state = idleStateOf(socket as Socket);
        const limitMs = Math.min(state.limitMs, maximumIdleMs);
        if (nowMs - state.freedAtMs > limitMs || kept >= maximumCount) {
          socket.destroy();
        } else {
          kept += 1;
        }
      }
    }
    return known;
  }

  function recordKeepAlive(
    request: ClientRequest,
    response: IncomingMessage,
  ): void {
    const socket = request.socket;
    const timeoutMatch = /timeout=(\d+)/i.exec(
      String(response.headers['keep-alive'] ?? ''),
    );
    if (!socket || !timeoutMatch) {
      return;
    }
    const limitMs = Number(timeoutMatch[1]) * MILLISECONDS_PER_SECOND;
    idleStateOf(socket).limitMs = Math.max(0, limitMs - IDLE_MARGIN_MS);
  }

  function closeUnusedSince(incarnation: string, sinceMs: number): void {
    const agent = agents.get(incarnation);
    if (!agent) {
      return;
    }
    for (const sockets of Object.values(agent.freeSockets)) {
      for (const socket of sockets ?? []) {
        if (idleStateOf(socket as Socket).freedAtMs < sinceMs) {
          socket.destroy();
        }
      }
    }
  }

  function closeIdle(incarnation: string): void {
    closeUnusedSince(incarnation, Infinity);
  }

  function retire(incarnation: string): void {
    const agent = agents.get(incarnation);
    if (agent) {
      agent.maxFreeSockets = 0;
    }
    closeIdle(incarnation);
  }

  function removePool(incarnation: string): void {
    closeIdle(incarnation);
    agents.delete(incarnation);
  }

  return {
    agentFor,
    markInUse: socket => {
      const state = idleStates.get(socket);
      if (state) {
        socket.removeListener('data', state.onUnsolicitedBytes);
      }
    },
    expectNothing,
    recordKeepAlive,
    closeIdle,
    closeUnusedSince,
    closeAllIdle: () => {
      for (const incarnation of agents.keys()) {
        closeIdle(incarnation);
      }
    },
    retire,
    removePool,
    close: () => {
      for (const incarnation of [...agents.keys()]) {
        removePool(incarnation);
      }
    },
  };
}
