/** Runs commands against an in-memory platform store, files and ports. */
import {
  type Principal,
  type PlatformStore,
  type TokenAudience,
  createManualTimerService,
  createTokenSigner,
  createOperatorError,
  publishChange,
  readConfiguration,
} from '@ibisbeam/library';
import {createRandomSource, teamName} from '@ibisbeam/decision';
import {
  type MemoryPlatform,
  buildDeployment,
  createMemoryPlatform,
} from '@ibisbeam/stand-ins';
import {type JWK, exportJWK, generateKeyPair} from 'jose';
import {EitherAsync, Left, Right} from 'purify-ts';
import {
  type Dependencies,
  type ExitStatus,
  runCommandLine,
} from '../src/index.js';
import type {OperatorCall, OperatorReply} from '../src/core/dependencies.js';

const START_WALL_MS = Date.parse('2026-12-03T20:00:00Z');
export const WORKSPACE = 'daugava-scholars-lodging';
export const OPERATOR: Principal = {kind: 'operator', name: 'janis'};
export const OWNER: Principal = {
  kind: 'target-owner',
  name: 'ilze',
  team: teamName('lodging-services'),
};

export interface Run {
  readonly status: ExitStatus;
  readonly output: string;
  readonly errors: string;
  /** The output as JSON. */
  readonly json: () => {
    readonly ok: boolean;
    readonly data: Record<string, unknown>;
    readonly errors: readonly {name: string; message: string; hint: string}[];
  };
}

export interface Harness {
  readonly platform: MemoryPlatform;
  readonly files: Map<string, string>;
  /** Answers of operator ports; VMs do not answer by default. */
  reply: (call: OperatorCall) => OperatorReply | undefined;
  /** Called once, before the next write of the head, as a concurrent operator. */
  beforeHeadWrite: (() => Promise<void>) | undefined;
  readonly timers: ReturnType<typeof createManualTimerService>;
  sign(principal: Principal, audience?: TokenAudience): Promise<string>;
  run(...commandArguments: readonly string[]): Promise<Run>;
  runAs(
    principal: Principal,
    ...commandArguments: readonly string[]
  ): Promise<Run>;
  runWithToken(
    token: string,
    ...commandArguments: readonly string[]
  ): Promise<Run>;
  generation(): Promise<number>;
}

export async function createHarness(): Promise<Harness> {
  const timers = createManualTimerService(START_WALL_MS);
  const platform = createMemoryPlatform(timers);
  const key = await createKey('first');
  const signer = await createTokenSigner(key.privateKey, timers);
  const files = new Map([['keys', JSON.stringify({keys: [key.publicKey]})]]);
  let nextIdentifier = 0;

  const harness: Harness = {
    platform,
    files,
    timers,
    reply: () => undefined,
    beforeHeadWrite: undefined,
    sign: (principal, audience = 'ibisbeam-operator') =>
      signer.sign(principal, audience, 3_600_000),
    run: (...commandArguments) => harness.runAs(OPERATOR, ...commandArguments),
    runAs,
    runWithToken,
    generation: async () => {
      const stored = (await readConfiguration(platform.store)).unsafeCoerce();
      return stored.head?.generation ?? 0;
    },
  };

  async function runAs(
    principal: Principal,
    ...commandArguments: readonly string[]
  ): Promise<Run> {
    const token = await harness.sign(principal);
    return runWithToken(token, ...commandArguments);
  }

  function runWithToken(
    token: string,
    ...commandArguments: readonly string[]
  ): Promise<Run> {
    files.set('token', token);
    return execute(commandArguments);
  }

  async function execute(commandArguments: readonly string[]): Promise<Run> {
    let output = '';
    let errors = '';
    const dependencies: Dependencies = {
      environment: {},
      timers: {...timers, sleep: () => Promise.resolve()},
      random: createRandomSource(1),
      uniqueId: () => `id-${(nextIdentifier += 1)}`,
      write: text => {
        output += text;
      },
      writeError: text => {
        errors += text;
      },
      exists: file => files.has(file),
      readText: file => {
        const text = files.get(file);
        return text === undefined
          ? Left([
              createOperatorError('FileUnreadable', {file, cause: 'absent'}),
            ])
          : Right(text);
      },
      listFiles: (folder, ending) =>
        Right(
          [...files.keys()].filter(
            name => name.startsWith(`${folder}/`) && name.endsWith(ending),
          ),
        ),
      writeFile: (file, text, {replace}) => {
        if (!replace && files.has(file)) {
          const cause = 'it exists';
          return Left([createOperatorError('FileUnreadable', {file, cause})]);
        }
        files.set(file, text);
        return Right(undefined);
      },
      openStore: () => ({
        store: withConcurrentWriter(harness),
        close: () => {},
      }),
      callOperatorPort: call => {
        const reply = harness.reply(call);
        const {address} = call;
        const noAnswer = createOperatorError('VmUnreachable', {
          address,
          cause: 'none',
        });
        return EitherAsync.liftEither(reply ? Right(reply) : Left([noAnswer]));
      },
    };
    const connection = [
      ...['--store-url', 'http://store.example'],
      ...['--token-file', 'token', '--keys-file', 'keys'],
    ];
    const status = await runCommandLine(
      [...commandArguments, ...connection],
      dependencies,
    );
    return {status, output, errors, json: () => JSON.parse(output)};
  }

  await publishDeployment(platform.store);
  return harness;
}

/** Wraps the store so that `beforeHeadWrite` runs before the next update. */
function withConcurrentWriter(harness: Harness): PlatformStore {
  const {store} = harness.platform;
  return {
    ...store,
    update: (key, expected, value, options) =>
      EitherAsync(async ({fromPromise}) => {
        const concurrentWrite = harness.beforeHeadWrite;
        harness.beforeHeadWrite = undefined;
        await concurrentWrite?.();
        return fromPromise(store.update(key, expected, value, options).run());
      }),
  };
}

export async function publishDeployment(
  platform: PlatformStore,
): Promise<void> {
  const document = buildDeployment({
    name: 'daugava',
    entryVmCount: 7,
    workerDivisor: 1,
    clientBlockCount: 9,
  });
  const published = await publishChange({
    platform,
    base: {document: new Map()},
    sections: document,
    author: 'seed',
    summary: 'configuration: all',
    writeId: 'seed',
    wallMs: START_WALL_MS,
  });
  published.unsafeCoerce();
}

/** A status answer; only the first VM reports load, so the sum is `inUse`. */
export function statusReply(
  call: OperatorCall,
  service: string,
  region: string,
  inUse: number,
): OperatorReply {
  const first = call.address === '10.0.0.0:8082';
  const pool = {
    service,
    region,
    usableSlots: 12,
    ownedSlots: 12,
    inFlight: first ? inUse : 0,
    queued: 0,
    inFlightByWorkspace: {},
  };
  return {
    status: 200,
    body: {
      vm: 'riga-a-1',
      region,
      zone: 'a',
      incarnation: 'inc-1',
      atMs: START_WALL_MS,
      store: {},
      vms: [],
      silentRegions: [],
      selfDoubt: false,
      stopping: false,
      inFlight: first ? inUse : 0,
      pools: [pool],
      drains: [],
      shifts: [],
      failovers: [],
      leavingTargets: [],
      ejectedTargets: [],
      quarantines: [],
      unknown: [],
    },
  };
}

export async function createKey(
  keyId: string,
): Promise<{readonly privateKey: JWK; readonly publicKey: JWK}> {
  const pair = await generateKeyPair('EdDSA', {extractable: true});
  const labels = {kid: keyId, alg: 'EdDSA'};
  return {
    privateKey: {...(await exportJWK(pair.privateKey)), ...labels},
    publicKey: {...(await exportJWK(pair.publicKey)), ...labels},
  };
}
