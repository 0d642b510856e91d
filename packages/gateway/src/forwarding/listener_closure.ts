/**
 * Closes a listener once no connection waits to be accepted. The system resets
 * those that wait when a listener closes, and their clients cannot tell whether
 * their requests have run. The event loop accepts one connection in each turn,
 * so that a turn without one has found the queue empty.
 *
 * What a turn reads and answers makes it longer, and clients that are refused may
 * come again, so that more connections come than are accepted. Connections are
 * therefore read only once the listener is closed, or after some time. If that is
 * not enough, the system lets no more into the queue.
 */
import {Server as NetServer, type Socket} from 'node:net';
import {type TimerService, afterInputRead} from '@ibisbeam/library';

export interface ListenerClosure {
  /** Resolves when the listener and all connections are closed. */
  readonly closed: Promise<void>;
  /** Whether the listener is open or accepted connections have not been read. */
  isUnderWay(): boolean;
}

/**
 * The first turn may have begun before its end was awaited, and connections that
 * come after a turn has looked for some are reset.
 */
const TURNS_WITHOUT_CONNECTION = 3;
/**
 * The queue closes to connections that come later, once so many have been accepted.
 * If it closes while it is short, some that come at once are lost.
 */
const OPEN_QUEUE_MS = 100;
const OPEN_QUEUE_ACCEPTS = 256;
/** Clients wait for one second, or less, for their request to be read. */
const MAXIMUM_HOLD_MS = 1_000;
/** Leaves time in a turn for other connections. */
const RESUMED_IN_TURN = 32;

/**
 * Connections are accepted until none waits, or until the server is closed by
 * other means.
 */
export function closeWhenNoneWaits(
  server: NetServer,
  timers: Pick<TimerService, 'atTurnEnd' | 'nowMs'>,
): ListenerClosure {
  const startedAtMs = timers.nowMs();
  /** Accepted connections that are not read yet, the oldest first. */
  const held = new Set<Socket>();
  let turnsWithoutConnection = 0;
  let accepted = 0;
  let isQueueOpen = true;
  let isUnderWay = true;

  function sinceStartMs(): number {
    return timers.nowMs() - startedAtMs;
  }

  function isQueueLong(): boolean {
    return accepted >= OPEN_QUEUE_ACCEPTS && sinceStartMs() >= OPEN_QUEUE_MS;
  }

  function onConnection(socket: Socket): void {
    turnsWithoutConnection = 0;
    accepted += 1;
    if (sinceStartMs() < MAXIMUM_HOLD_MS) {
      // Node.js has scheduled its first read of the connection.
      queueMicrotask(() => socket.pause());
      held.add(socket);
    }
  }

  function resumeSome(): void {
    let resumed = 0;
    for (const socket of held) {
      if (resumed === RESUMED_IN_TURN) {
        return;
      }
      held.delete(socket);
      socket.resume();
      resumed += 1;
    }
  }

  function resumeAll(): void {
    resumeSome();
    if (held.size > 0) {
      timers.atTurnEnd(resumeAll);
      return;
    }
    afterInputRead(timers, () => {
      isUnderWay = false;
    });
  }

  const closed = new Promise<void>(resolve => {
    function onTurnEnd(): void {
      turnsWithoutConnection += 1;
      const mayHaveMore = turnsWithoutConnection <= TURNS_WITHOUT_CONNECTION;
      if (server.listening && mayHaveMore) {
        if (isQueueOpen && isQueueLong()) {
          isQueueOpen = false;
          closeAcceptQueue(server);
        }
        if (sinceStartMs() >= MAXIMUM_HOLD_MS) {
          resumeSome();
        }
        timers.atTurnEnd(onTurnEnd);
        return;
      }
      // The method of http.Server also destroys connections whose answers
      // still wait for a slow reader.
      NetServer.prototype.close.call(server, () => resolve());
      resumeAll();
    }

    server.on('connection', onConnection);
    timers.atTurnEnd(onTurnEnd);
  });
  return {closed, isUnderWay: () => isUnderWay};
}

/**
 * The system drops requests for connections while the queue has any, without an
 * answer; clients ask again after a second. Node.js has no public way to listen
 * once more with another length of the queue.
 */
function closeAcceptQueue(server: NetServer): void {
  const {_handle: handle} = server as {
    readonly _handle?: {listen?(queueLength: number): number} | null;
  };
  handle?.listen?.(0);
}
