/** One entry VM: the program of the deploy file as a process of its own. */
import {type ChildProcess, spawn} from 'node:child_process';
import {openSync, readFileSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {ZONES} from './zones.js';

export interface Resolution {
  /** HOST:PORT of each. */
  readonly addresses: readonly string[];
  readonly lifetimeMs: number;
}

export interface EntryVmProcess {
  readonly id: string;
  readonly host: string;
  /** Port for clients. */
  readonly front: number;
  start(): void;
  /** Asks its directory which addresses to use; undefined without an answer. */
  resolve(clientHost: string, zone: string): Promise<Resolution | undefined>;
  signal(signal: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT'): void;
  isRunning(): boolean;
  /** Ends of the process that no signal of the case has caused. */
  ownEnds(): number;
  isReady(): Promise<boolean>;
  /** The error that the process has written last, without its stack. */
  lastError(): string;
}

export interface EntryVmOptions {
  readonly id: string;
  readonly host: string;
  readonly front: number;
  readonly ready: number;
  readonly directory: number;
  readonly folder: string;
  readonly settings: unknown;
  /** The process has ended by itself. */
  onOwnEnd(): void;
}

const REPOSITORY = fileURLToPath(new URL('../../..', import.meta.url));
const RUN_PATTERN = /^run = "([^"]+)"$/m;
const ANSWER_TIMEOUT_MS = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Program and arguments, as `DEPLOY.md` says: split at spaces. */
function readRunCommand(): readonly string[] {
  const text = readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8');
  const [, command] = RUN_PATTERN.exec(text) ?? [];
  if (command === undefined) {
    throw new Error('deploy/system.toml has no run line');
  }
  return command.split(' ');
}

export function createEntryVmProcess(options: EntryVmOptions): EntryVmProcess {
  const {id, host, front, ready} = options;
  const settingsFile = join(options.folder, `${id}.json`);
  const logFile = join(options.folder, `${id}.log`);
  writeFileSync(settingsFile, JSON.stringify(options.settings));
  let child: ChildProcess | undefined;
  let isEndExpected = false;
  let ownEndCount = 0;
  // Nothing is left running when the case ends early.
  process.once('exit', () => child?.kill('SIGKILL'));

  function start(): void {
    const [program = 'node', ...programArguments] = readRunCommand();
    const log = openSync(logFile, 'a');
    isEndExpected = false;
    const started = spawn(program, programArguments, {
      cwd: REPOSITORY,
      env: {
        PATH: process.env['PATH'],
        HOME: process.env['HOME'],
        IBISBEAM_BOOT: settingsFile,
      },
      stdio: ['ignore', log, log],
    });
    child = started;
    started.on('exit', () => {
      if (child === started) {
        child = undefined;
      }
      if (!isEndExpected) {
        ownEndCount += 1;
        options.onOwnEnd();
      }
    });
  }

  /** Returns the text of an answer with status 200. */
  function ask(port: number, path: string): Promise<string | undefined> {
    return new Promise(resolve => {
      const request = get(
        {host, port, path, timeout: ANSWER_TIMEOUT_MS},
        response => {
          const chunks: Buffer[] = [];
          response.on('data', (chunk: Buffer) => chunks.push(chunk));
          response.on('error', () => resolve(undefined));
          response.on('end', () => {
            const text = Buffer.concat(chunks).toString('utf8');
            resolve(response.statusCode === 200 ? text : undefined);
          });
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve(undefined));
    });
  }

  return {
    id,
    host,
    front,
    start,
    resolve: async (clientHost, zone) => {
      const query = `name=${clientHost}&region=${ZONES[zone]}&zone=${zone}`;
      const text = await ask(options.directory, `/resolve?${query}`);
      if (text === undefined) {
        return undefined;
      }
      const {addresses, ttl_s: lifetimeSeconds} = JSON.parse(text);
      return {addresses, lifetimeMs: lifetimeSeconds * MILLISECONDS_PER_SECOND};
    },
    signal: signal => {
      isEndExpected ||= signal === 'SIGTERM' || signal === 'SIGKILL';
      child?.kill(signal);
    },
    isRunning: () => child !== undefined,
    ownEnds: () => ownEndCount,
    isReady: async () => (await ask(ready, '/ready')) !== undefined,
    lastError: () => {
      const lines = readFileSync(logFile, 'utf8').split('\n');
      const errors = lines.filter(line => line.includes('level=error'));
      const [text = 'no error'] = (errors.at(-1) ?? '').split('\\n');
      return text.replace(/^.*event=/, 'event=');
    },
  };
}
