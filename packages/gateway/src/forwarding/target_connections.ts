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

export interface TargetConnections {
  /**
   * Returns the target's agent after closing its idle connections beyond the
   * limits, and those beyond the target's own idle timeout.
   */
  agentFor(incarnation: string, limits: IdleConnectionLimits): Agent;
  /** Marks a socket as used by a request, which expects to receive bytes. */
  markInUse(socket: Socket): void;
  /** Records the idle timeout that the target states in Keep-Alive. */
  recordKeepAlive(request: ClientRequest, response: IncomingMessage): void;
  /** Closes the idle connections to a target. */
  closeIdle(incarnation: string): void;
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
  /** Listens while the connection is idle. */
  onUnsolicitedBytes?: (bytes: Buffer) => void;
}

export interface TargetConnectionsOptions {
  readonly timers: Pick<TimerService, 'nowMs'>;
  /**
   * Bytes arrived on an idle connection, which is closed.
   *
   * @param byteCount The first of the bytes; further ones are not read.
   */
  onUnsolicitedBytes(incarnation: string, byteCount: number): void;
}

export function createTargetConnections(
  options: TargetConnectionsOptions,
): TargetConnections {
  const {timers} = options;
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
    };
    idleStates.set(socket, state);
    return state;
  }

  function createAgent(incarnation: string, maximumCount: number): Agent {
    const agent = new Agent({
      keepAlive: true,
      noDelay: true,
      maxFreeSockets: maximumCount,
      scheduling: 'fifo',
    });
    agent.on('free', (socket: Socket) => {
      const state = idleStateOf(socket);
      state.freedAtMs = timers.nowMs();
      state.onUnsolicitedBytes = bytes => {
        socket.destroy();
        options.onUnsolicitedBytes(incarnation, bytes.length);
      };
      socket.on('data', state.onUnsolicitedBytes);
    });
    return agent;
  }

  function agentFor(
    incarnation: string,
    {maximumIdleMs, maximumCount}: IdleConnectionLimits,
  ): Agent {
    const known = agents.get(incarnation);
    if (!known) {
      const agent = createAgent(incarnation, maximumCount);
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

  function closeIdle(incarnation: string): void {
    const agent = agents.get(incarnation);
    if (!agent) {
      return;
    }
    for (const sockets of Object.values(agent.freeSockets)) {
      for (const socket of sockets ?? []) {
        socket.destroy();
      }
    }
  }

  function removePool(incarnation: string): void {
    closeIdle(incarnation);
    agents.delete(incarnation);
  }

  return {
    agentFor,
    markInUse: socket => {
      const listener = idleStates.get(socket)?.onUnsolicitedBytes;
      if (listener) {
        socket.removeListener('data', listener);
      }
    },
    recordKeepAlive,
    closeIdle,
    removePool,
    close: () => {
      for (const incarnation of [...agents.keys()]) {
        removePool(incarnation);
      }
    },
  };
}
