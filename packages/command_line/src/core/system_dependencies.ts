/** Dependencies of a real run: files, network and the system's clocks. */
import {randomBytes, randomUUID} from 'node:crypto';
import {existsSync, readFileSync, readdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {createRandomSource} from '@ibisbeam/decision';
import {
  createHttpPlatformStore,
  createMemoryMetrics,
  createSystemTimerService,
  createOperatorError,
} from '@ibisbeam/library';
import got from 'got';
import {type Either, EitherAsync, Left, Right} from 'purify-ts';
import type {Dependencies, Errors, OperatorCall} from './dependencies.js';

export function createSystemDependencies(): Dependencies {
  const timers = createSystemTimerService();
  const random = createRandomSource(randomBytes(4).readInt32LE());
  return {
    environment: process.env,
    timers,
    random,
    uniqueId: randomUUID,
    write: text => {
      process.stdout.write(text);
    },
    writeError: text => {
      process.stderr.write(text);
    },
    exists: existsSync,
    readText: file => wrapFileErrors(file, () => readFileSync(file, 'utf8')),
    listFiles: (folder, suffix) =>
      wrapFileErrors(folder, () => listFiles(folder, suffix)),
    writeFile: (file, text, {mode, replace}) =>
      wrapFileErrors(file, () =>
        writeFileSync(file, text, {mode, flag: replace ? 'w' : 'wx'}),
      ),
    openStore: ({url, token, timeoutMs}) => {
      const store = createHttpPlatformStore({
        url,
        callTimeoutMs: timeoutMs,
        timers,
        random,
        metrics: createMemoryMetrics(),
        token,
      });
      return {store, close: () => store.close()};
    },
    callOperatorPort,
  };
}

function listFiles(folder: string, suffix: string): readonly string[] {
  const names = readdirSync(folder).filter(name => name.endsWith(suffix));
  return names.sort().map(name => join(folder, name));
}

function wrapFileErrors<Value>(
  file: string,
  operation: () => Value,
): Either<Errors, Value> {
  try {
    return Right(operation());
  } catch (cause) {
    return Left([
      createOperatorError('FileUnreadable', {
        file,
        cause: cause instanceof Error ? cause.message : String(cause),
      }),
    ]);
  }
}

function callOperatorPort(call: OperatorCall) {
  return EitherAsync<Errors, {status: number; body: unknown}>(
    async ({throwE}) => {
      try {
        const response = await got(`http://${call.address}${call.path}`, {
          method: call.method,
          headers: {authorization: `Bearer ${call.token}`},
          timeout: {request: call.timeoutMs},
          retry: {limit: 0},
          throwHttpErrors: false,
          followRedirect: false,
        });
        return {status: response.statusCode, body: parseBody(response.body)};
      } catch (error) {
        const cause = error instanceof Error ? error.message : String(error);
        const {address} = call;
        return throwE([createOperatorError('VmUnreachable', {address, cause})]);
      }
    },
  );
}

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
