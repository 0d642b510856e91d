/** Reads a client's request body, up to a limit. */
import type {IncomingMessage} from 'node:http';

export type BodyResult =
  | {readonly kind: 'whole'; readonly bytes: Buffer | undefined}
  | {readonly kind: 'too-large'}
  /** The client left before the end. */
  | {readonly kind: 'aborted'};

export function hasBody(request: IncomingMessage): boolean {
  const {headers} = request;
  return (
    headers['transfer-encoding'] !== undefined ||
    (headers['content-length'] !== undefined &&
      headers['content-length'] !== '0')
  );
}

/**
 * @param maximumBytes Longest body taken.
 * @param onResult Called once.
 */
export function readBody(
  request: IncomingMessage,
  maximumBytes: number,
  onResult: (result: BodyResult) => void,
): void {
  if (!hasBody(request)) {
    const isEmpty = request.headers['content-length'] === '0';
    onResult({kind: 'whole', bytes: isEmpty ? Buffer.alloc(0) : undefined});
    return;
  }
  if (Number(request.headers['content-length'] ?? 0) > maximumBytes) {
    onResult({kind: 'too-large'});
    return;
  }
  const chunks: Buffer[] = [];
  let received = 0;
  let done = false;

  function finish(result: BodyResult): void {
    if (done) {
      return;
    }
    done = true;
    onResult(result);
  }

  request.on('data', (chunk: Buffer) => {
    received += chunk.length;
    if (received > maximumBytes) {
      finish({kind: 'too-large'});
      return;
    }
    chunks.push(chunk);
  });
  request.on('end', () =>
    finish({kind: 'whole', bytes: Buffer.concat(chunks)}),
  );
  request.on('error', () => finish({kind: 'aborted'}));
  request.on('close', () => finish({kind: 'aborted'}));
}
