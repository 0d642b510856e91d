/** A target with answers of given sizes, which keeps nothing of its requests. */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {TimerService} from '@ibisbeam/library';

export interface BulkTarget {
  /** Entry of the target in the store. */
  readonly entry: Readonly<Record<string, unknown>>;
  /** Number of requests that have reached the target. */
  runs(): number;
  close(): void;
}

export interface BulkTargetOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  readonly workMs: number;
  readonly answerBytes: number;
  readonly timers: TimerService;
}

const BORN_MS = 1_000;
/** Longer than any measurement, so that no connection closes under a request. */
const KEEP_ALIVE_MS = 120_000;

export function startBulkTarget(
  options: BulkTargetOptions,
): Promise<BulkTarget> {
  const {timers} = options;
  const body = Buffer.alloc(options.answerBytes, 'x');
  let runCount = 0;
  const server = createServer((incoming, outgoing) => {
    incoming.resume();
    incoming.on('end', () => {
      if (incoming.url === '/health') {
        outgoing.writeHead(200, {'X-Ibisbeam-Instance-Id': options.id});
        outgoing.end();
        return;
      }
      runCount += 1;
      timers.after(options.workMs, () => {
        outgoing.writeHead(200, {
          'Content-Length': String(body.length),
          'X-Ibisbeam-Attempt-Id':
            incoming.headers['x-ibisbeam-attempt-id'] ?? '',
        });
        outgoing.end(body);
      });
    });
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  const host = '127.0.0.1';
  return new Promise(resolve => {
    server.listen(0, host, () => {
      const {port} = server.address() as AddressInfo;
      resolve({
        entry: {
          service: options.service,
          address: `${host}:${port}`,
          zone: options.zone,
          version: 'v1',
          slots: options.slots,
          state: 'ready',
          cold_remaining_ms: 0,
          sequence: 1,
          born: BORN_MS,
        },
        runs: () => runCount,
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      });
    });
  });
}
