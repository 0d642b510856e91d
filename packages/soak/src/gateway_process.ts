/** Runs one gateway as a child process and sends signals to it. */
import {type ChildProcess, spawn} from 'node:child_process';
import {
  closeSync,
  openSync,
  readFileSync,
  renameSync,
  writeFileSync,
} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

export interface GatewayProcess {
  readonly id: string;
  readonly caller: {readonly host: string; readonly port: number};
  readonly readiness: {readonly host: string; readonly port: number};
  /** Sends the signal to this child process only; ignored if it has exited. */
  signal(
    signal: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP',
  ): void;
  start(): void;
  isRunning(): boolean;
  readonly settings: {readonly [key: string]: unknown};
  readonly settingsFile: string;
  /** Whether the running process has a listener for SIGHUP. */
  catchesSignals(): boolean;
  /** Leaves the settings file empty, as while it is being written. */
  tearSettings(): void;
  /** Replaces the settings file, as the platform does. */
  writeSettings(text: string): void;
  /** What the process has written to its log. */
  log(): string;
  /** Resolves with the process's next end. */
  ended(): Promise<ProcessEnd>;
  /** Undefined while the process does not run. */
  processId(): number | undefined;
  /** Number of exits not caused by SIGTERM or SIGKILL from the soak. */
  unexpectedExits(): number;
}

/** One of both is null. */
export interface ProcessEnd {
  readonly status: number | null;
  readonly signal: string | null;
}

export interface GatewayProcessOptions {
  readonly id: string;
  readonly folder: string;
  /** Path of the gateway program. */
  readonly program: string;
  /** Options of Node.js. Default: none. */
  readonly nodeOptions?: readonly string[];
  readonly settings: {readonly [key: string]: unknown};
  readonly caller: {readonly host: string; readonly port: number};
  readonly readiness: {readonly host: string; readonly port: number};
  /** Standard output; the log file by default. */
  readonly output?: 'closed pipe' | 'unread pipe' | undefined;
  onExit(): void;
}

/** The gateway program of this build. */
export const GATEWAY_PROGRAM = fileURLToPath(
  new URL('../../../../platform/dist/src/main.js', import.meta.url),
);

export function createGatewayProcess(
  options: GatewayProcessOptions,
): GatewayProcess {
  const settingsFile = join(options.folder, `${options.id}.json`);
  const logFile = join(options.folder, `${options.id}.log`);
  writeSettings(JSON.stringify(options.settings));
  let child: ChildProcess | undefined;
  let exitExpected = false;
  let unexpectedExitCount = 0;
  const waitingForEnd: ((end: ProcessEnd) => void)[] = [];

  function writeSettings(text: string): void {
    const replacement = `${settingsFile}.new`;
    writeFileSync(replacement, text);
    renameSync(replacement, settingsFile);
  }

  function start(): void {
    const log = openSync(logFile, 'a');
    exitExpected = false;
    const started = spawn(
      process.execPath,
      [...(options.nodeOptions ?? []), options.program],
      {
        env: {PATH: process.env['PATH'], IBISBEAM_BOOT: settingsFile},
        stdio: ['ignore', options.output ? 'pipe' : log, log],
      },
    );
    closeSync(log);
    child = started;
    if (options.output === 'closed pipe') {
      started.stdout?.destroy();
    }
    started.on('exit', (status, signal) => {
      for (const resolve of waitingForEnd.splice(0)) {
        resolve({status, signal});
      }
      if (!exitExpected) {
        unexpectedExitCount += 1;
      }
      if (child === started) {
        child = undefined;
      }
      options.onExit();
    });
  }

  return {
    id: options.id,
    caller: options.caller,
    readiness: options.readiness,
    start,
    signal: signal => {
      if (signal === 'SIGTERM' || signal === 'SIGKILL') {
        exitExpected = true;
      }
      child?.kill(signal);
    },
    isRunning: () => child !== undefined,
    settings: options.settings,
    settingsFile,
    catchesSignals: () => child !== undefined && catchesHangUp(child.pid),
    tearSettings: () => writeFileSync(settingsFile, ''),
    writeSettings,
    log: () => readFileSync(logFile, 'utf8'),
    ended: () =>
      new Promise(resolve => {
        waitingForEnd.push(resolve);
      }),
    processId: () => child?.pid,
    unexpectedExits: () => unexpectedExitCount,
  };
}

/** Bit 0 of the mask of signals that a process catches stands for SIGHUP. */
function catchesHangUp(processId: number | undefined): boolean {
  try {
    const status = readFileSync(`/proc/${processId}/status`, 'utf8');
    const [, mask = '0'] = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status) ?? [];
    return Number.parseInt(mask.slice(-1), 16) % 2 === 1;
  } catch {
    return false;
  }
}
