import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {TimerHandle, TimerService} from '../timers/index.js';

/** Bounds the work for clients that go on sending. */
const PACED_BYTES = 262_144;
const PACE_MS = 50;
/** Clients that send more find their connection reset. */
const MAXIMUM_DISCARDED_BYTES = 67_108_864;

const discarded = new WeakSet<object>();

/** Whether what comes on the connection is dropped. */
export function isInputDiscarded(socket: object): boolean {
  return discarded.has(socket);
}

/**
 * Reads and drops what still comes on the connection of a request behind which
 * none is served, so that its client gets to read its answer. The HTTP parser is
 * passed by: it would make a buffer of each chunk, however short, and a message
 * of each request.
 */
export function discardInput(
  {socket}: Pick<IncomingMessage, 'socket'>,
  timers: Pick<TimerService, 'after' | 'atTurnEnd'>,
): void {
  if (discarded.has(socket) || socket.destroyed) {
    return;
  }
  discarded.add(socket);
  socket.pause();
  // By then, a resumption that Node.js has scheduled has taken place.
  timers.atTurnEnd(() => {
    // Node.js ceases to resume the connection itself once the parser is passed
    // by.
    socket.once('resume', () => dropInput(socket, timers));
    socket.pause();
    socket.resume();
  });
}

function dropInput(socket: Socket, timers: Pick<TimerService, 'after'>): void {
  let totalBytes = 0;
  let pacedBytes = 0;
  let timer: TimerHandle | undefined;
  socket.removeAllListeners('data');
  // Node.js reads past the parser once there is a listener.
  socket.on('data', (bytes: Buffer) => {
    totalBytes += bytes.length;
    pacedBytes += bytes.length;
    if (pacedBytes < PACED_BYTES) {
      return;
    }
    pacedBytes = 0;
    socket.pause();
    if (totalBytes < MAXIMUM_DISCARDED_BYTES) {
      timer = timers.after(PACE_MS, () => socket.resume());
    }
  });
  socket.once('close', () => timer?.cancel());
}
