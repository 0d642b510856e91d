/** Collects request bodies, in memory of a known size and up to a limit. */
import type {IncomingMessage} from 'node:http';
import {createPieceMeter} from '@ibisbeam/decision';
import {type Either, Left, Right} from 'purify-ts';
import {createPieceBuffer} from '../bytes/index.js';
import {createReadGate} from './read_gate.js';

export type BodyError =
  /** `Content-Length` or the bytes received exceed the limit. */
  | {
      readonly kind: 'too-large';
      readonly limitBytes: number;
      readonly receivedBytes: number;
    }
  /** It comes in more pieces than its length explains. */
  | {readonly kind: 'short-pieces'; readonly receivedBytes: number}
  /** There was no memory for the rest of it. */
  | {readonly kind: 'no-memory'}
  /** The client disconnected before it had sent the whole body. */
  | {readonly kind: 'truncated'};

/** Where a body is kept. Its size is that of the memory, not of the body. */
export interface BodyMemory {
  /** Called for memory that the body takes; false ends the reading. */
  take(bytes: number): boolean;
  /** Called for memory that it takes before anybody asks for it. */
  add(bytes: number): void;
  /** Takes back what was added. */
  give(bytes: number): void;
  /**
   * Returns memory for a whole body of this length; undefined to keep it in
   * buffers of Node.js.
   */
  openBody(byteCount: number): Buffer | undefined;
}

export interface RequestBody {
  /**
   * Resolves with the whole body, or with why it cannot be had. The first call
   * sets the limit.
   */
  read(limitBytes: number): Promise<Either<BodyError, Buffer>>;
  /** Frees what has been read: nobody is going to ask for it. */
  drop(): void;
}

export interface RequestBodyOptions {
  /** Default: there is memory for all bodies. */
  readonly memory?: BodyMemory;
  /** Called for the first error, also if nobody has asked for the body. */
  readonly onError?: (error: BodyError) => void;
}

const EMPTY_BODY = Buffer.alloc(0);
/** Memory that a body may take until somebody asks for it. */
const READ_AHEAD_BYTES = 65_536;

const UNBOUNDED_MEMORY: BodyMemory = {
  take: () => true,
  add: () => {},
  give: () => {},
  openBody: () => undefined,
};

const NO_BODY: RequestBody = {
  read: () => Promise.resolve(Right(EMPTY_BODY)),
  drop: () => {},
};

/** Bodies that `readRequestBody` is to go on with. */
const bodies = new WeakMap<IncomingMessage, RequestBody>();

/** Whether the headers announce a body. */
export function announcesBody(request: IncomingMessage): boolean {
  const {headers} = request;
  return (
    headers['transfer-encoding'] !== undefined ||
    (headers['content-length'] !== undefined &&
      headers['content-length'] !== '0')
  );
}

/**
 * Reads the whole body into memory; an absent body is empty. Goes on with what
 * `beginRequestBody` has begun.
 */
export function readRequestBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Either<BodyError, Buffer>> {
  const body = bodies.get(request) ?? collectRequestBody(request);
  return body.read(limitBytes);
}

/**
 * Starts to collect the body, up to what may be held until somebody asks for it.
 * Call it when the head has been read, because Node.js keeps what nobody collects
 * in pieces as it comes.
 */
export function collectRequestBody(
  request: IncomingMessage,
  options: RequestBodyOptions = {},
): RequestBody {
  if (!announcesBody(request)) {
    request.resume();
    return NO_BODY;
  }
  return collect(request, options);
}

/** Starts to collect a body for a later call of `readRequestBody`. */
export function beginRequestBody(request: IncomingMessage): void {
  bodies.set(request, collectRequestBody(request));
}

function collect(
  request: IncomingMessage,
  {memory = UNBOUNDED_MEMORY, onError = () => {}}: RequestBodyOptions,
): RequestBody {
  const gate = createReadGate(request);
  const pieces = createPieceBuffer();
  const meter = createPieceMeter();
  const announcedBytes = Number(request.headers['content-length'] ?? 0);
  /** Undefined until somebody asks for the body. */
  let limitBytes: number | undefined;
  /** Memory for all of it, if its length is known. */
  let whole: Buffer | undefined;
  let receivedBytes = 0;
  let countedBytes = 0;
  let isDropped = false;
  let outcome: Either<BodyError, Buffer> | undefined;
  let settle: (outcome: Either<BodyError, Buffer>) => void;
  const settled = new Promise<Either<BodyError, Buffer>>(resolve => {
    settle = resolve;
  });

  function end(result: Either<BodyError, Buffer>): void {
    outcome = result;
    settle(result);
  }

  function fail(error: BodyError): void {
    free();
    gate.hold();
    gate.drop();
    end(Left(error));
    onError(error);
  }

  function free(): void {
    pieces.take();
    whole = undefined;
    if (limitBytes === undefined) {
      memory.give(countedBytes);
      countedBytes = 0;
    }
  }

  /** Returns false if there is no memory. */
  function count(): boolean {
    const memoryBytes = whole ? receivedBytes : pieces.memoryBytes();
    const addedBytes = memoryBytes - countedBytes;
    countedBytes = memoryBytes;
    if (limitBytes !== undefined) {
      return addedBytes === 0 || memory.take(addedBytes);
    }
    memory.add(addedBytes);
    return true;
  }

  function keep(chunk: Buffer): void {
    if (whole) {
      chunk.copy(whole, receivedBytes - chunk.length);
      return;
    }
    pieces.append(chunk);
  }

  function receive(chunk: Buffer): void {
    receivedBytes += chunk.length;
    if (outcome) {
      gate.hold();
      return;
    }
    if (!meter.record(chunk.length)) {
      fail({kind: 'short-pieces', receivedBytes});
      return;
    }
    if (limitBytes !== undefined && receivedBytes > limitBytes) {
      fail({kind: 'too-large', limitBytes, receivedBytes});
      return;
    }
    if (!isDropped) {
      keep(chunk);
      if (!count()) {
        fail({kind: 'no-memory'});
        return;
      }
    }
    const heldBytes = isDropped ? receivedBytes : countedBytes;
    if (limitBytes === undefined && heldBytes >= READ_AHEAD_BYTES) {
      gate.hold();
    }
  }

  /** Moves what has been collected to memory for the whole body. */
  function openWhole(): void {
    whole = memory.openBody(announcedBytes);
    if (whole) {
      let offset = 0;
      for (const piece of pieces.take()) {
        offset += piece.copy(whole, offset);
      }
    }
  }

  function read(nextLimitBytes: number): Promise<Either<BodyError, Buffer>> {
    if (limitBytes !== undefined || (outcome && outcome.isLeft())) {
      return settled;
    }
    const bytes = Math.max(announcedBytes, receivedBytes);
    if (bytes > nextLimitBytes) {
      fail({kind: 'too-large', limitBytes: nextLimitBytes, receivedBytes});
      return settled;
    }
    memory.give(countedBytes);
    countedBytes = 0;
    limitBytes = nextLimitBytes;
    openWhole();
    if (!count()) {
      fail({kind: 'no-memory'});
      return settled;
    }
    if (request.readableEnded) {
      complete();
      return settled;
    }
    gate.release();
    return settled;
  }

  function complete(): void {
    // Keeps what was collected ahead until somebody asks for it.
    if (outcome || isDropped || limitBytes === undefined) {
      return;
    }
    end(Right(whole ?? join(pieces.take())));
  }

  function breakOff(): void {
    if (!outcome && !request.readableEnded) {
      free();
      end(Left({kind: 'truncated'}));
    }
  }

  request.on('data', receive);
  request.on('end', () => {
    gate.release();
    complete();
  });
  request.on('error', breakOff);
  request.on('close', breakOff);

  return {
    read,
    drop: () => {
      if (!outcome && limitBytes === undefined) {
        isDropped = true;
        free();
      }
    },
  };
}

function join(pieces: readonly Buffer[]): Buffer {
  const [first, ...others] = pieces;
  return first && others.length === 0 ? first : Buffer.concat(pieces);
}
