/** A client of the entry VMs that makes one request a connection at a time. */
import {Agent, request as httpRequest} from 'node:http';
import type {TimerService} from '@ibisbeam/library';
import {CLIENT_HOST} from './zones.js';
import type {EntryVmProcess} from './entry_vm_process.js';
import type {CaseRecord} from './record.js';

export interface ClientCall {
  readonly attemptId: string;
  readonly vm: string;
  readonly path: string;
  /** Undefined without the head of an answer. */
  readonly status: number | undefined;
  /** Whether the answer came whole. */
  readonly isWhole: boolean;
  /** Whether earlier requests had been answered on the connection. */
  readonly isKeptConnection: boolean;
  /** Whether the other end closed the connection before the answer's end. */
  readonly isCut: boolean;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
}

type CallEnd = 'whole' | 'cut' | 'given-up';

export interface CallOptions {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly deadlineMs: number;
  readonly body?: Buffer;
  readonly apiKey?: string;
}

export interface Client {
  call(vm: EntryVmProcess, options: CallOptions): Promise<ClientCall>;
  close(): void;
}

export function createClient(
  name: string,
  timers: TimerService,
  record: CaseRecord,
): Client {
  const agent = new Agent({keepAlive: true});
  let calls = 0;

  function call(vm: EntryVmProcess, options: CallOptions): Promise<ClientCall> {
    const {method, path, deadlineMs, body, apiKey} = options;
    calls += 1;
    const attemptId = `${name}-${calls}`;
    const sentAtMs = timers.nowMs();
    record.add(`${attemptId} sent to ${vm.id}: ${method} ${path}`);
    return new Promise(resolve => {
      let status: number | undefined;
      let isEnded = false;
      const request = httpRequest({
        host: vm.host,
        port: vm.front,
        agent,
        method,
        path,
        headers: {
          Host: CLIENT_HOST,
          'X-Ibisbeam-Attempt-Id': attemptId,
          'X-Ibisbeam-Deadline-Ms': String(deadlineMs),
          ...(body && {'Content-Length': String(body.length)}),
          ...(apiKey !== undefined && {'X-Api-Key': apiKey}),
        },
      });
      const timer = timers.after(deadlineMs, () => {
        end('given-up', 'the client gives up');
        request.destroy();
      });

      function end(kind: CallEnd, how: string): void {
        if (isEnded) {
          return;
        }
        isEnded = true;
        timer.cancel();
        record.add(`${attemptId} ends: ${how}, status ${status ?? 'none'}`);
        resolve({
          attemptId,
          vm: vm.id,
          path,
          status,
          isWhole: kind === 'whole',
          isKeptConnection: request.reusedSocket,
          isCut: kind === 'cut',
          sentAtMs,
          endedAtMs: timers.nowMs(),
        });
      }

      request.on('response', response => {
        status = response.statusCode;
        response.resume();
        response.on('end', () => end('whole', 'answered'));
        response.on('error', error => end('cut', error.message));
      });
      request.on('error', error => end('cut', error.message));
      request.end(body);
    });
  }

  return {call, close: () => agent.destroy()};
}
