/**
 * Kept connections to targets, one pool for each life of a target. A pool
 * drops connections that the target may be about to close, and any on which
 * bytes arrive that nobody asked for.
 */
import {Agent, type ClientRequest, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {TimerService} from '@ibisbeam/library';

export interface TargetConnections {
  /** The agent of a target, after dropping connections idle for too long. */
  agentFor(life: string, longestIdleMs: number): Agent;
  /** Ends the watch for unexpected bytes: a request now uses the connection. */
  taken(socket: Socket): void;
  /** Notes how long the target keeps an idle connection. */
  noteKeepAlive(request: ClientRequest, answer: IncomingMessage): void;
  /** Closes the idle connections to a target. */
  dropIdle(life: string): void;
  /** Forgets a target; connections in use end with their requests. */
  forget(life: string): void;
  close(): void;
}

/** Idle connections kept to one target. */
const MAXIMUM_IDLE_PER_TARGET = 24;
/** Idle time assumed of targets that do not state it. */
const DEFAULT_IDLE_LIMIT_MS = 4_000;
/** Safety margin below the idle time that a target states. */
const IDLE_MARGIN_MS = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;

interface IdleNote {
  freedAtMs: number;
  limitMs: number;
  readonly onUnexpectedBytes: () => void;
}

export function createTargetConnections(
  timers: Pick<TimerService, 'nowMs'>,
): TargetConnections {
  const agents = new Map<string, Agent>();
  const idleNotes = new WeakMap<Socket, IdleNote>();

  function noteOf(socket: Socket): IdleNote {
    const known = idleNotes.get(socket);
    if (known) {
      return known;
    }
    const note: IdleNote = {
      freedAtMs: timers.nowMs(),
      limitMs: DEFAULT_IDLE_LIMIT_MS,
      onUnexpectedBytes: () => socket.destroy(),
    };
    idleNotes.set(socket, note);
    return note;
  }

  function createAgent(): Agent {
    const agent = new Agent({
      keepAlive: true,
      noDelay: true,
      maxFreeSockets: MAXIMUM_IDLE_PER_TARGET,
      scheduling: 'fifo',
    });
    agent.on('free', (socket: Socket) => {
      const note = noteOf(socket);
      note.freedAtMs = timers.nowMs();
      socket.on('data', note.onUnexpectedBytes);
    });
    return agent;
  }

  function agentFor(life: string, longestIdleMs: number): Agent {
    const known = agents.get(life);
    if (!known) {
      const agent = createAgent();
      agents.set(life, agent);
      return agent;
    }
    const nowMs = timers.nowMs();
    for (const sockets of Object.values(known.freeSockets)) {
      for (const socket of sockets ?? []) {
        const note = noteOf(socket as Socket);
        const limitMs = Math.min(note.limitMs, longestIdleMs);
        if (nowMs - note.freedAtMs > limitMs) {
          socket.destroy();
        }
      }
    }
    return known;
  }

  function noteKeepAlive(
    request: ClientRequest,
    answer: IncomingMessage,
  ): void {
    const socket = request.socket;
    const stated = /timeout=(\d+)/i.exec(
      String(answer.headers['keep-alive'] ?? ''),
    );
    if (!socket || !stated) {
      return;
    }
    const limitMs = Number(stated[1]) * MILLISECONDS_PER_SECOND;
    noteOf(socket).limitMs = Math.max(0, limitMs - IDLE_MARGIN_MS);
  }

  function dropIdle(life: string): void {
    const agent = agents.get(life);
    if (!agent) {
      return;
    }
    for (const sockets of Object.values(agent.freeSockets)) {
      for (const socket of sockets ?? []) {
        socket.destroy();
      }
    }
  }

  function forget(life: string): void {
    dropIdle(life);
    agents.delete(life);
  }

  return {
    agentFor,
    taken: socket => {
      const note = idleNotes.get(socket);
      if (note) {
        socket.removeListener('data', note.onUnexpectedBytes);
      }
    },
    noteKeepAlive,
    dropIdle,
    forget,
    close: () => {
      for (const life of [...agents.keys()]) {
        forget(life);
      }
    },
  };
}
