/**
 * One attempt of a request at one target. It reports a single outcome. A
 * short answer is held until it is whole, so that a broken one can be tried
 * elsewhere; a longer one is handed over as it streams.
 */
import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  request as httpRequest,
} from 'node:http';
import type {Socket} from 'node:net';
import type {AttemptOutcome, LoadReport} from '@ibisbeam/decision';
import type {TimerHandle, TimerService} from '@ibisbeam/library';
import type {GatewayProtocol} from '../core/protocol.js';
import {headerValues} from './header_rules.js';

/** An answer whose head, and whole body if it is short, has arrived. */
export interface TargetAnswer {
  readonly status: number;
  readonly rawHeaders: readonly string[];
  readonly body:
    | {readonly kind: 'whole'; readonly bytes: Buffer}
    | {
        readonly kind: 'streaming';
        readonly begin: readonly Buffer[];
        readonly rest: IncomingMessage;
      };
}

export interface AttemptRequest {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  /** Flat list of names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  readonly attemptId: string | undefined;
  readonly agent: Agent;
  readonly connectTimeoutMs: number;
}

export interface AttemptEvents {
  /** A connection, new or kept, is now in use for this attempt. */
  onSocket(socket: Socket): void;
  /** The connection is there and bytes may leave. */
  onSent(reusedConnection: boolean): void;
  onLoad(report: LoadReport): void;
  onAnswerHead(request: ClientRequest, answer: IncomingMessage): void;
  /** Called once, unless the attempt was cancelled before. */
  onEnd(outcome: AttemptOutcome, answer?: TargetAnswer): void;
}

export interface TargetAttempt {
  /** Ends the attempt; the target's connection is closed. */
  cancel(): void;
}

/** Longest answer held until it is whole. */
const MAXIMUM_HELD_BYTES = 262_144;

export function startTargetAttempt(
  wanted: AttemptRequest,
  protocol: GatewayProtocol,
  timers: TimerService,
  events: AttemptEvents,
): TargetAttempt {
  let ended = false;
  let sent = false;
  let connectTimer: TimerHandle | undefined;
  let streaming: IncomingMessage | undefined;
  let connection: Socket | undefined;

  const outgoing = httpRequest({
    host: wanted.host,
    port: wanted.port,
    method: wanted.method,
    path: wanted.path,
    headers: wanted.headers as unknown as Record<string, string>,
    agent: wanted.agent,
    setHost: false,
  });

  function end(outcome: AttemptOutcome, answer?: TargetAnswer): void {
    if (ended) {
      return;
    }
    ended = true;
    connectTimer?.cancel();
    if (answer?.body.kind !== 'streaming') {
      connection?.removeListener('end', onEndOfConnection);
    }
    events.onEnd(outcome, answer);
  }

  /**
   * Where data and a reset arrive together, libuv reports the end of the
   * stream in place of the reset, and an answer without a length would look
   * complete. The peer of a connection that was reset has no name.
   */
  function onEndOfConnection(): void {
    if (connection?.remoteAddress !== undefined) {
      return;
    }
    const reset = new Error('the connection was reset');
    fail(reset.message);
    streaming?.destroy(reset);
  }

  function fail(cause: string): void {
    if (ended) {
      return;
    }
    end(sent ? {kind: 'broken', cause} : {kind: 'not-sent', cause});
    outgoing.destroy();
  }

  function markSent(): void {
    connectTimer?.cancel();
    if (sent || ended) {
      return;
    }
    sent = true;
    events.onSent(outgoing.reusedSocket);
  }

  function onSocket(socket: Socket): void {
    events.onSocket(socket);
    connection = socket;
    // Before the listener of node:http, which takes the answer for whole.
    socket.prependListener('end', onEndOfConnection);
    if (!socket.connecting) {
      markSent();
      return;
    }
    socket.once('connect', markSent);
    connectTimer = timers.after(wanted.connectTimeoutMs, () =>
      fail('no connection in time'),
    );
  }

  function onResponse(answer: IncomingMessage): void {
    const {attemptId: echoName, load, notExecuted} = protocol.headers;
    const echoed = headerValues(answer.rawHeaders, echoName);
    const [loadText] = headerValues(answer.rawHeaders, load);
    const report = loadText ? protocol.readLoad(loadText) : undefined;
    if (report) {
      events.onLoad(report);
    }
    const foreign = echoed.some(value => value !== wanted.attemptId);
    if (foreign) {
      fail('the answer belongs to another request');
      return;
    }
    events.onAnswerHead(outgoing, answer);
    const status = answer.statusCode ?? 0;
    const isNotExecuted =
      status === 421 || headerValues(answer.rawHeaders, notExecuted).length > 0;
    collect(answer, isNotExecuted, status);
  }

  function collect(
    answer: IncomingMessage,
    isNotExecuted: boolean,
    status: number,
  ): void {
    const chunks: Buffer[] = [];
    let held = 0;

    function onData(chunk: Buffer): void {
      chunks.push(chunk);
      held += chunk.length;
      if (held <= MAXIMUM_HELD_BYTES || ended) {
        return;
      }
      answer.pause();
      streaming = answer;
      answer.removeListener('data', onData);
      answer.removeListener('end', onEnd);
      end(
        {kind: 'answered', status},
        {
          status,
          rawHeaders: answer.rawHeaders,
          body: {kind: 'streaming', begin: chunks, rest: answer},
        },
      );
    }

    function onEnd(): void {
      if (!answer.complete) {
        fail('the answer was cut short');
        return;
      }
      const bytes = Buffer.concat(chunks);
      const whole: TargetAnswer = {
        status,
        rawHeaders: answer.rawHeaders,
        body: {kind: 'whole', bytes},
      };
      if (isNotExecuted) {
        end({kind: 'not-executed', status}, whole);
        return;
      }
      end({kind: 'answered', status}, whole);
    }

    answer.on('data', onData);
    answer.on('end', onEnd);
    answer.on('error', error => fail(`the answer broke off: ${error.message}`));
    answer.on('aborted', () => fail('the answer broke off'));
  }

  outgoing.on('socket', onSocket);
  outgoing.on('response', onResponse);
  outgoing.on('error', error => {
    fail(error.message);
    // An answer that ends with its connection would else look complete.
    streaming?.destroy(error);
  });
  outgoing.on('close', () => fail('the connection was closed'));
  outgoing.end(wanted.body);

  return {
    cancel: () => {
      ended = true;
      connectTimer?.cancel();
      connection?.removeListener('end', onEndOfConnection);
      outgoing.destroy();
    },
  };
}
