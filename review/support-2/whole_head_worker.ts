/** A worker that reads heads of any number of lines, and notes what it runs. */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';

export interface WorkerRun {
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  /** Values of this header, in order. */
  values(lowerName: string): readonly string[];
}

export interface WholeHeadWorker {
  readonly address: string;
  readonly runs: readonly WorkerRun[];
  close(): void;
}

const HEADER_PREFIX = 'X-Ibisbeam';
const WORK_MS = 20;
/** Node.js reads 16 KiB by default, without what the VM adds. */
const MAXIMUM_HEAD_BYTES = 65_536;

export function startWholeHeadWorker(
  id: string,
  host: string,
): Promise<WholeHeadWorker> {
  const runs: WorkerRun[] = [];
  const server = createServer(
    {maxHeaderSize: MAXIMUM_HEAD_BYTES},
    (incoming, outgoing) => {
      const {rawHeaders} = incoming;
      function values(lowerName: string): readonly string[] {
        return rawHeaders.filter(
          (_, index) =>
            index % 2 === 1 &&
            rawHeaders[index - 1]?.toLowerCase() === lowerName,
        );
      }

      const [attemptId] = values('x-ibisbeam-attempt-id');
      const [expected = id] = values('x-ibisbeam-expect-instance');
      if (attemptId === undefined && incoming.url === '/health') {
        outgoing.writeHead(200, {[`${HEADER_PREFIX}-Instance-Id`]: id});
        outgoing.end();
        return;
      }
      if (attemptId === undefined || expected !== id) {
        outgoing.writeHead(expected === id ? 400 : 421, {
          [`${HEADER_PREFIX}-Not-Executed`]: '1',
          ...(attemptId !== undefined && {
            [`${HEADER_PREFIX}-Attempt-Id`]: attemptId,
          }),
        });
        outgoing.end();
        return;
      }
      const pieces: Buffer[] = [];
      incoming.on('data', (piece: Buffer) => pieces.push(piece));
      incoming.on('end', () => {
        runs.push({
          attemptId,
          method: incoming.method ?? '',
          path: incoming.url ?? '',
          body: Buffer.concat(pieces).toString('utf8'),
          values,
        });
        setTimeout(() => {
          const answer = `done ${attemptId}`;
          outgoing.writeHead(200, {
            [`${HEADER_PREFIX}-Attempt-Id`]: attemptId,
            [`${HEADER_PREFIX}-Response-Seal`]: `seal-${id}-${attemptId}`,
            'Content-Length': Buffer.byteLength(answer),
          });
          outgoing.end(answer);
        }, WORK_MS);
      });
    },
  );
  // Node.js drops what comes behind a thousand lines by default.
  server.maxHeadersCount = 0;
  server.keepAliveTimeout = 10_000;
  return new Promise(resolve => {
    server.listen(0, host, () => {
      const {address, port} = server.address() as AddressInfo;
      resolve({
        address: `${address}:${port}`,
        runs,
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      });
    });
  });
}
