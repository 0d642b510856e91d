/**
 * Open connections of clients, and which of them are idle. Node.js takes a
 * connection for idle once its answer has been ended, although a client that
 * reads slowly may not have got all of it.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

export interface ClientConnections {
  add(socket: Socket): void;
  /**
   * Call it when the head of a request has been read.
   *
   * @returns False if an earlier answer closes the connection: the request
   *     counts as not read, its client sends it again, and it must not be served.
   */
  recordRequest(incoming: IncomingMessage, outgoing: ServerResponse): boolean;
  /**
   * Lets the answer close its connection, unless requests have been read behind
   * it, whose answers would be lost. Call it before the head is written.
   *
   * @returns Whether the connection closes.
   */
  closeAfter(outgoing: ServerResponse): boolean;
  /** Number of requests whose answer has not left completely. */
  inFlight(): number;
  inFlightOn(socket: object): number;
  /** Number of open connections, idle ones included. */
  count(): number;
  /**
   * Closes the connections that have brought requests, owe no byte of an answer
   * and have brought no byte since.
   */
  closeIdle(): void;
  /** What would be lost if all connections were closed now. */
  unfinished(): readonly UnfinishedConnection[];
}

export interface UnfinishedConnection {
  readonly requestsInFlight: number;
  /** Bytes of answers that the system has not taken yet. */
  readonly bytesLeft: number;
}

interface ConnectionState {
  requestsInFlight: number;
  /** Answer to the request that was read last. */
  lastAnswer: ServerResponse | undefined;
  /** Whether an answer that closes the connection has been begun. */
  isClosing: boolean;
  /** Bytes that had been received when the last request was complete. */
  bytesRead: number | undefined;
}

export function createClientConnections(): ClientConnections {
  const states = new Map<Socket, ConnectionState>();
  const stateByAnswer = new WeakMap<ServerResponse, ConnectionState>();
  let inFlight = 0;

  function isIdle(socket: Socket, state: ConnectionState): boolean {
    return (
      state.requestsInFlight === 0 &&
      socket.writableLength === 0 &&
      state.bytesRead === socket.bytesRead
    );
  }

  return {
    add: socket => {
      states.set(socket, {
        requestsInFlight: 0,
        lastAnswer: undefined,
        isClosing: false,
        bytesRead: undefined,
      });
      socket.on('close', () => states.delete(socket));
    },
    recordRequest: (incoming, outgoing) => {
      const {socket} = incoming;
      const state = states.get(socket);
      if (state?.isClosing) {
        return false;
      }
      inFlight += 1;
      // Emitted once the last byte has been handed to the system.
      outgoing.on('close', () => {
        inFlight -= 1;
        if (state) {
          state.requestsInFlight -= 1;
        }
      });
      if (!state) {
        return true;
      }
      stateByAnswer.set(outgoing, state);
      state.lastAnswer = outgoing;
      state.requestsInFlight += 1;
      state.bytesRead = socket.bytesRead;
      incoming.on('end', () => {
        state.bytesRead = socket.bytesRead;
      });
      return true;
    },
    closeAfter: outgoing => {
      const state = stateByAnswer.get(outgoing);
      if (state && state.lastAnswer !== outgoing) {
        return false;
      }
      outgoing.shouldKeepAlive = false;
      if (state) {
        state.isClosing = true;
      }
      return true;
    },
    inFlight: () => inFlight,
    inFlightOn: socket => states.get(socket as Socket)?.requestsInFlight ?? 0,
    count: () => states.size,
    closeIdle: () => {
      for (const [socket, state] of states) {
        if (isIdle(socket, state)) {
          socket.destroy();
        }
      }
    },
    unfinished: () => {
      const unfinished: UnfinishedConnection[] = [];
      for (const [socket, {requestsInFlight}] of states) {
        const bytesLeft = socket.writableLength;
        if (requestsInFlight > 0 || bytesLeft > 0) {
          unfinished.push({requestsInFlight, bytesLeft});
        }
      }
      return unfinished;
    },
  };
}
