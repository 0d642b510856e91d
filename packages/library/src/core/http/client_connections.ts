/**
 * The owner of what stands on the connections of clients: which requests have
 * been read, in order, when each may be answered, and when a connection closes.
 *
 * Clients may send further requests before the first has been answered. Answers
 * are written in the order of the requests, each head only when all earlier
 * answers have left, so that what an answer says of its connection is decided
 * as late as possible. A streamed answer does not announce that its connection
 * closes, because requests that are read behind it would be lost. Node.js takes a
 * connection for idle once its answer has been ended, although a client that
 * reads slowly may not have got all of it.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {type TimerService, afterInputRead} from '../timers/index.js';
import {discardInput} from './input_discard.js';

/**
 * - `whole`: head and body are written at once.
 * - `streamed`: the body goes on after the head, so that the client may send
 *   further requests before its end.
 */
export type AnswerDelivery = 'whole' | 'streamed';

export interface AnswerOptions {
  /** `whole` is the default. A `streamed` answer does not close its connection. */
  readonly delivery?: AnswerDelivery;
  /** Whether it closes the connection, unless requests are read behind it. */
  readonly closes?: boolean;
}

/** The answer that is due to one request. */
export interface ClientAnswer {
  /**
   * Calls `writeHead` once all earlier answers of the connection have left; never
   * if the connection closes before. Only the first call counts. An answer that
   * may close its connection waits until what the client has sent is read.
   */
  write(writeHead: () => void, options?: AnswerOptions): void;
  /** Whether `write` has been called. */
  isDecided(): boolean;
  /** Whether all earlier answers of the connection have left. */
  isInTurn(): boolean;
  /** Calls back once all earlier answers have left, if they have not yet. */
  onTurn(listener: () => void): void;
  /** Number of requests of the connection that were read after this one. */
  requestsBehind(): number;
  /** Calls back once: the client has left before it had the whole answer. */
  onClientLeft(listener: () => void): void;
  /** Calls back once: the whole answer has left, or the connection is closed. */
  onEnd(listener: () => void): void;
  /**
   * Sets what decides the answer if it cannot be awaited any longer; replaces
   * an earlier listener. See `ClientConnections.decideNow`.
   */
  onDecisionDue(listener: DecisionListener): void;
}

/**
 * - `unsent`: a request that no target has been sent is to be refused.
 * - `all`: each request is to be answered with what is known.
 */
export type DecisionScope = 'unsent' | 'all';

export type DecisionListener = (scope: DecisionScope) => void;

export interface ClientConnections {
  add(socket: Socket): void;
  /**
   * Call it when the head of a request has been read.
   *
   * @returns Undefined if the connection is closed or an earlier answer closes
   *     it: the request counts as not read, its client sends it again, and it
   *     must not be served.
   */
  recordRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): ClientAnswer | undefined;
  /** Asks for decisions on all answers that have none yet. */
  decideNow(scope: DecisionScope): void;
  /** Number of requests whose answer has not left completely. */
  inFlight(): number;
  inFlightOn(socket: object): number;
  /**
   * Answers what is not a request, and reads no request behind it. For connections
   * that have no request in flight.
   *
   * @param answer Head and body of the answer.
   */
  closeWith(socket: Duplex, answer: string): void;
  /** Number of open connections, idle ones included. */
  count(): number;
  /**
   * Number of connections without requests whose client may still be reading the
   * last answer.
   */
  lingering(): number;
  /**
   * Reads what has come, and closes the connections that have brought requests,
   * owe no byte of an answer and have brought no byte since. Those whose client
   * may still be reading a long answer take no further request, and close when
   * their client does.
   */
  closeIdle(): void;
  /**
   * Reads what has come, and closes the connection if it brought no byte and has
   * no request in flight.
   */
  closeUnused(socket: Socket): void;
  /**
   * Closes all connections. An answer that has been begun is cut off so that it
   * does not look complete.
   */
  terminate(): void;
  /** What would be lost if all connections were closed now. */
  unfinished(): readonly UnfinishedConnection[];
}

export interface UnfinishedConnection {
  readonly requestsInFlight: number;
  /** Bytes of answers that the system has not taken yet. */
  readonly bytesLeft: number;
}

export interface ClientConnectionsOptions {
  readonly timers: Pick<TimerService, 'after' | 'nowMs' | 'atTurnEnd'>;
  /**
   * Whether connections close with the next answer behind which none is due.
   * Streamed ones are passed over.
   */
  readonly closesAfterAnswers?: () => boolean;
}

interface PendingRequest {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly answer: ClientAnswer;
  decideNow(scope: DecisionScope): void;
  leave(): void;
  end(): void;
}

interface ConnectionState {
  /** Requests without a complete answer, in the order of their arrival. */
  readonly pending: Set<PendingRequest>;
  /** Answer to the request that was read last. */
  lastAnswer: ServerResponse | undefined;
  /** Whether the answer that closes the connection is known. */
  isClosing: boolean;
  /** Bytes that had been received when the last request was complete. */
  bytesRead: number | undefined;
  /** When the last byte of a streamed answer was handed to the system. */
  streamEndedAtMs: number | undefined;
  /** Bytes of answers that had been handed to the system by the last one's end. */
  answeredBytes: number;
  /** When the last byte of a long answer was handed to the system. */
  longAnswerEndedAtMs: number | undefined;
}

/** Time in which a client may read the last answer and close its connection. */
const LINGER_MS = 1_000;
/**
 * Bound for clients that go on sending the body of a refused request, or read a
 * long answer slowly.
 */
const MAXIMUM_LINGER_MS = 10_000;
/** Clients have shorter answers at once. */
const LONG_ANSWER_BYTES = 16_384;

export function createClientConnections({
  timers,
  closesAfterAnswers = () => false,
}: ClientConnectionsOptions): ClientConnections {
  const states = new Map<Socket, ConnectionState>();
  let inFlight = 0;

  function isIdle(socket: Socket, state: ConnectionState): boolean {
    return (
      !state.isClosing &&
      state.pending.size === 0 &&
      socket.writableLength === 0 &&
      state.bytesRead === socket.bytesRead &&
      !isStreamBeingRead(state)
    );
  }

  /** The system may hold much of an answer for a client that reads slowly. */
  function isStreamBeingRead({streamEndedAtMs}: ConnectionState): boolean {
    return (
      streamEndedAtMs !== undefined &&
      timers.nowMs() - streamEndedAtMs < LINGER_MS
    );
  }

  /** Whether the system may hold much of an answer for the client. */
  function isLongAnswerBeingRead({
    longAnswerEndedAtMs,
  }: ConnectionState): boolean {
    return (
      longAnswerEndedAtMs !== undefined &&
      timers.nowMs() - longAnswerEndedAtMs < MAXIMUM_LINGER_MS
    );
  }

  /**
   * Bytes that come for a closed socket would reset the connection, and what the
   * system still holds for the client would be lost.
   */
  function close(socket: Socket, state: ConnectionState): void {
    if (!isLongAnswerBeingRead(state)) {
      socket.destroy();
      return;
    }
    state.isClosing = true;
    socket.end();
  }

  /** Whether the client has not sent the whole of its last request. */
  function isBodyDue({lastAnswer}: ConnectionState): boolean {
    return lastAnswer !== undefined && !lastAnswer.req.complete;
  }

  function requestsBehind(
    {pending}: ConnectionState,
    request: PendingRequest,
  ): number {
    let count = 0;
    let isBehind = false;
    for (const other of pending) {
      if (isBehind) {
        count += 1;
      }
      isBehind ||= other === request;
    }
    return count;
  }

  /** Copied, because requests end while they are visited. */
  function pendingOf(state: ConnectionState): readonly PendingRequest[] {
    return [...state.pending];
  }

  function add(socket: Socket): void {
    const state: ConnectionState = {
      pending: new Set(),
      lastAnswer: undefined,
      isClosing: false,
      bytesRead: undefined,
      streamEndedAtMs: undefined,
      answeredBytes: 0,
      longAnswerEndedAtMs: undefined,
    };
    states.set(socket, state);
    lingerAfterLastAnswer(socket, timers, {
      isBodyDue: () => isBodyDue(state),
      isBeingRead: () => isLongAnswerBeingRead(state),
    });
    // Comes a turn of the event loop before 'close', and Node.js tells only the
    // first of several requests of either.
    socket.on('end', () => {
      for (const request of pendingOf(state)) {
        request.leave();
      }
    });
    socket.on('close', () => {
      states.delete(socket);
      for (const request of pendingOf(state)) {
        request.leave();
        request.end();
      }
    });
  }

  function recordAnsweredBytes(socket: Socket, state: ConnectionState): void {
    const {bytesWritten} = socket;
    if (bytesWritten - state.answeredBytes > LONG_ANSWER_BYTES) {
      state.longAnswerEndedAtMs = timers.nowMs();
    }
    state.answeredBytes = bytesWritten;
  }

  function createPending(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    state: ConnectionState,
  ): PendingRequest {
    let isDecided = false;
    let isStreamed = false;
    let isOver = false;
    let hasLeft = false;
    let decisionListener: DecisionListener | undefined;
    const leaveListeners: (() => void)[] = [];
    const endListeners: (() => void)[] = [];

    /** Whether the answer closes the connection if it is written now. */
    function shouldClose(closes: boolean): boolean {
      if (state.lastAnswer !== outgoing) {
        return false;
      }
      // A streamed answer to HTTP/1.0 may end with its connection anyway.
      const mayClose = !isStreamed || incoming.httpVersionMinor === 0;
      return closes || (mayClose && closesAfterAnswers());
    }

    const answer: ClientAnswer = {
      write: (writeHead, {delivery = 'whole', closes = false} = {}) => {
        if (isDecided || isOver) {
          return;
        }
        isDecided = true;
        isStreamed = delivery === 'streamed';
        const writeInTurn = (): void => {
          if (isOver) {
            return;
          }
          if (state.isClosing || !shouldClose(closes)) {
            writeHead();
            return;
          }
          afterInputRead(timers, () => {
            if (isOver) {
              return;
            }
            if (shouldClose(closes)) {
              outgoing.shouldKeepAlive = false;
              state.isClosing = true;
            }
            writeHead();
          });
        };
        if (answer.isInTurn()) {
          writeInTurn();
          return;
        }
        answer.onTurn(writeInTurn);
      },
      isDecided: () => isDecided,
      // Node.js gives a response its socket when it is its turn, and goes on with
      // the response after the event.
      isInTurn: () => outgoing.socket !== null,
      onTurn: listener => {
        if (!answer.isInTurn()) {
          outgoing.once('socket', () => queueMicrotask(listener));
        }
      },
      requestsBehind: () => requestsBehind(state, request),
      onClientLeft: listener => {
        leaveListeners.push(listener);
      },
      onEnd: listener => {
        endListeners.push(listener);
      },
      onDecisionDue: listener => {
        decisionListener = listener;
      },
    };

    const request: PendingRequest = {
      incoming,
      outgoing,
      answer,
      decideNow: scope => {
        if (!isDecided && !isOver) {
          decisionListener?.(scope);
        }
      },
      leave: () => {
        if (hasLeft || isOver || outgoing.writableFinished) {
          return;
        }
        hasLeft = true;
        for (const listener of leaveListeners) {
          listener();
        }
      },
      end: () => {
        if (isOver) {
          return;
        }
        isOver = true;
        inFlight -= 1;
        state.pending.delete(request);
        if (isStreamed) {
          state.streamEndedAtMs = timers.nowMs();
        }
        recordAnsweredBytes(incoming.socket, state);
        if (state.isClosing) {
          // What is left of its body would reset the connection.
          discardInput(incoming, timers);
        }
        for (const listener of endListeners) {
          listener();
        }
      },
    };
    return request;
  }

  function recordRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): ClientAnswer | undefined {
    const {socket} = incoming;
    const state = states.get(socket);
    if (!state || state.isClosing) {
      return undefined;
    }
    const request = createPending(incoming, outgoing, state);
    inFlight += 1;
    state.pending.add(request);
    state.lastAnswer = outgoing;
    state.bytesRead = socket.bytesRead;
    // The client has asked for it, or Node.js closes it for another reason.
    state.isClosing = !outgoing.shouldKeepAlive;
    // Emitted once the last byte has been handed to the system.
    outgoing.on('close', () => {
      request.leave();
      request.end();
    });
    incoming.on('end', () => {
      state.bytesRead = socket.bytesRead;
    });
    return request.answer;
  }

  return {
    add,
    recordRequest,
    decideNow: scope => {
      for (const state of states.values()) {
        for (const request of pendingOf(state)) {
          request.decideNow(scope);
        }
      }
    },
    inFlight: () => inFlight,
    inFlightOn: socket => states.get(socket as Socket)?.pending.size ?? 0,
    closeWith: (socket, answer) => {
      const state = states.get(socket as Socket);
      if (state) {
        state.isClosing = true;
      }
      socket.write(answer);
      (socket as Socket).destroySoon();
    },
    count: () => states.size,
    lingering: () => {
      let count = 0;
      for (const state of states.values()) {
        const mayBeRead =
          state.isClosing ||
          isStreamBeingRead(state) ||
          isLongAnswerBeingRead(state);
        if (mayBeRead && state.pending.size === 0) {
          count += 1;
        }
      }
      return count;
    },
    closeIdle: () => {
      afterInputRead(timers, () => {
        for (const [socket, state] of states) {
          if (isIdle(socket, state)) {
            close(socket, state);
          }
        }
      });
    },
    closeUnused: socket => {
      const {bytesRead} = socket;
      afterInputRead(timers, () => {
        const inFlightHere = states.get(socket)?.pending.size ?? 0;
        if (inFlightHere === 0 && socket.bytesRead === bytesRead) {
          socket.destroy();
        }
      });
    },
    terminate: () => {
      for (const [socket, state] of states) {
        if (endsWithConnection(state)) {
          socket.resetAndDestroy();
        } else {
          socket.destroy();
        }
      }
    },
    unfinished: () => {
      const unfinished: UnfinishedConnection[] = [];
      for (const [socket, {pending}] of states) {
        const bytesLeft = socket.writableLength;
        if (pending.size > 0 || bytesLeft > 0) {
          unfinished.push({requestsInFlight: pending.size, bytesLeft});
        }
      }
      return unfinished;
    },
  };
}

/**
 * Node.js closes a connection once its last answer has been handed to the system.
 * Bytes that come later reset a closed connection, and a client that sends ahead,
 * or is in the middle of a body, may lose the answer with it. Who is in the
 * middle of a body may read nothing before its end.
 */
function lingerAfterLastAnswer(
  socket: Socket,
  timers: ClientConnectionsOptions['timers'],
  client: {isBodyDue(): boolean; isBeingRead(): boolean},
): void {
  Object.assign(socket, {
    destroySoon: () => {
      socket.end();
      const endAtMs = timers.nowMs() + MAXIMUM_LINGER_MS;
      let {bytesRead} = socket;
      let timer = timers.after(LINGER_MS, destroyUnlessSending);
      socket.once('close', () => timer.cancel());

      function destroyUnlessSending(): void {
        const isSending = socket.bytesRead > bytesRead && client.isBodyDue();
        const isInUse = isSending || client.isBeingRead();
        if (!isInUse || timers.nowMs() >= endAtMs) {
          socket.destroy();
          return;
        }
        ({bytesRead} = socket);
        timer = timers.after(LINGER_MS, destroyUnlessSending);
      }
    },
  });
}

/** Whether the end of the connection would look like the end of an answer. */
function endsWithConnection({pending}: ConnectionState): boolean {
  const [first] = pending;
  return (
    first !== undefined &&
    first.outgoing.headersSent &&
    first.incoming.httpVersionMinor === 0
  );
}
