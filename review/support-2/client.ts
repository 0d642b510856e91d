/** Clients of the fleet, and the record of a script. */
import {Agent, request as httpRequest} from 'node:http';
import {writeFileSync} from 'node:fs';
import type {Address, Fleet} from './fleet.js';

export interface Answer {
  /** 0 if the connection ended without an answer. */
  readonly status: number;
  readonly body: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

export interface ClientRequest {
  readonly method?: 'GET' | 'POST';
  readonly host: string;
  readonly path: string;
  readonly attemptId: string;
  readonly deadlineMs: number;
  readonly body?: string;
  /** Sent before those of the body. */
  readonly headers?: Readonly<Record<string, readonly string[]>>;
  readonly agent?: Agent;
}

/** Node.js itself ends with 1 if a script cannot be loaded. */
const RULE_BROKEN = 10;

/** Sends one client attempt; gives up at its deadline. */
export function send(
  {host, port}: Address,
  request: ClientRequest,
): Promise<Answer> {
  return new Promise(resolve => {
    const outgoing = httpRequest({
      host,
      port,
      method: request.method ?? 'GET',
      path: request.path,
      agent: request.agent ?? false,
      headers: {
        Host: request.host,
        'X-Ibisbeam-Attempt-Id': request.attemptId,
        'X-Ibisbeam-Deadline-Ms': String(request.deadlineMs),
        ...request.headers,
        ...(request.body === undefined
          ? {}
          : {'Content-Length': Buffer.byteLength(request.body)}),
      },
    });
    const timer = setTimeout(
      () => outgoing.destroy(new Error('deadline')),
      request.deadlineMs,
    );
    function end(answer: Answer): void {
      clearTimeout(timer);
      resolve(answer);
    }
    outgoing.on('error', error =>
      end({status: 0, body: error.message, headers: {}}),
    );
    outgoing.on('response', response => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('aborted', () =>
        end({status: 0, body: 'cut short', headers: {}}),
      );
      response.on('end', () =>
        end({
          status: response.complete ? (response.statusCode ?? 0) : 0,
          body: Buffer.concat(chunks).toString('utf8'),
          headers: response.headers,
        }),
      );
    });
    outgoing.end(request.body);
  });
}

/** Resolves once every VM says that it is ready, or to false. */
export async function waitUntilReady(
  fleet: Fleet,
  withinMs: number,
): Promise<boolean> {
  const endMs = fleet.timers.nowMs() + withinMs;
  for (;;) {
    const answers = await Promise.all(fleet.vms.map(vm => askReady(vm.ready)));
    if (answers.every(status => status === 200)) {
      return true;
    }
    if (fleet.timers.nowMs() > endMs) {
      return false;
    }
    await fleet.timers.sleep(100);
  }
}

export function askReady({host, port}: Address): Promise<number> {
  return new Promise(resolve => {
    const outgoing = httpRequest(
      {host, port, path: '/ready', agent: false, timeout: 1_000},
      response => {
        response.resume();
        resolve(response.statusCode ?? 0);
      },
    );
    outgoing.on('timeout', () => outgoing.destroy());
    outgoing.on('error', () => resolve(0));
    outgoing.end();
  });
}

export interface ScriptRecord {
  write(line: string): void;
  /** Writes the file and ends the script. */
  finish(status: 0 | 1 | 2, why: string): never;
}

/** @param file Path of `record.txt`. */
export function openRecord(file: string): ScriptRecord {
  const startedAtMs = Date.now();
  const lines: string[] = [];

  function write(line: string): void {
    const atS = ((Date.now() - startedAtMs) / 1_000).toFixed(2);
    lines.push(`${atS} s  ${line}`);
    console.log(lines.at(-1));
  }

  return {
    write,
    finish: (status, why) => {
      write(`${why} (exit ${status})`);
      writeFileSync(file, `${lines.join('\n')}\n`);
      process.exit(status === 1 ? RULE_BROKEN : status);
    },
  };
}
