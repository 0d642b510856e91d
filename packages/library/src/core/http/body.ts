/** Reads a request body whole, up to a limit. */
import type {IncomingMessage} from 'node:http';
import {type Either, Left, Right} from 'purify-ts';

export type BodyError =
  /** More bytes than the limit were announced or sent. */
  | {readonly kind: 'too-large'; readonly limitBytes: number}
  /** The sender went away or sent less than it announced. */
  | {readonly kind: 'truncated'};

const EMPTY_BODY = Buffer.alloc(0);

/** Whether the head of the request announces a body. */
export function announcesBody(request: IncomingMessage): boolean {
  const {headers} = request;
  return (
    headers['transfer-encoding'] !== undefined ||
    (headers['content-length'] !== undefined &&
      headers['content-length'] !== '0')
  );
}

export function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Either<BodyError, Buffer>> {
  if (!announcesBody(request)) {
    request.resume();
    return Promise.resolve(Right(EMPTY_BODY));
  }
  const announced = Number(request.headers['content-length'] ?? 0);
  if (announced > limitBytes) {
    return Promise.resolve(Left({kind: 'too-large', limitBytes}));
  }
  return collect(request, limitBytes);
}

function collect(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Either<BodyError, Buffer>> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > limitBytes) {
        request.pause();
        request.removeAllListeners('data');
        resolve(Left({kind: 'too-large', limitBytes}));
        return;
      }
      chunks.push(chunk);
    });
    request.on('end', () => resolve(Right(Buffer.concat(chunks))));
    request.on('error', () => resolve(Left({kind: 'truncated'})));
    request.on('close', () => resolve(Left({kind: 'truncated'})));
  });
}
