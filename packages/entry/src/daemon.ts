/** Runs one entry VM as a process, from its settings to its graceful stop. */
import {randomBytes} from 'node:crypto';
import {createRandomSource} from '@ibisbeam/decision';
import {
  type Kernel,
  type Metrics,
  type Settings,
  createEntryVm,
  createHttpPlatformStore,
  createKeyValueLogger,
  createMemoryMetrics,
  createStatsdMetrics,
  createSystemTimerService,
  createTokenSigner,
  createTokenVerifier,
} from '@ibisbeam/library';
import type {VmKeys} from './keys.js';

export interface DaemonOptions {
  readonly settings: Settings;
  readonly keys: VmKeys;
  /** Writes one log line, which ends with a newline. */
  readonly write: (line: string) => void;
}

export interface Daemon {
  readonly kernel: Kernel;
  start(): Promise<void>;
  /** Begins the graceful stop; further calls are only logged. */
  stop(): void;
  /** Resolves with the exit status of the process after the stop. */
  readonly ended: Promise<number>;
}

export async function createDaemon(options: DaemonOptions): Promise<Daemon> {
  const {settings, keys} = options;
  const timers = createSystemTimerService();
  const random = createRandomSource(randomBytes(4).readInt32BE());
  const metrics = createMetrics(settings);
  const logger = createKeyValueLogger({
    level: settings.logs.level,
    fields: {vm: settings.vm.id},
    write: options.write,
  });
  const platform = createHttpPlatformStore({
    url: settings.platform.url,
    callTimeoutMs: settings.platform.callTimeoutMs,
    timers,
    random,
    metrics,
  });
  const kernel = createEntryVm({
    settings,
    timers,
    random,
    logger,
    metrics,
    platform,
    tokenVerifier: createTokenVerifier(keys.verification, timers),
    tokenSigner: await createTokenSigner(keys.signing, timers),
  });
  let stopping = false;

  async function end(): Promise<number> {
    const {fatal} = await kernel.ended;
    platform.close();
    await metrics.close();
    return fatal === undefined ? 0 : 1;
  }

  function stop(): void {
    if (stopping) {
      logger.log('info', 'vm-stopping', {repeated: true});
      return;
    }
    stopping = true;
    void kernel.stop();
  }

  return {
    kernel,
    start: async () => {
      await kernel.start();
      logger.log('info', 'vm-started', {...settings.listen});
    },
    stop,
    ended: end(),
  };
}

function createMetrics(settings: Settings): Metrics {
  const {statsd} = settings.metrics;
  if (statsd === undefined) {
    return createMemoryMetrics();
  }
  const colon = statsd.lastIndexOf(':');
  return createStatsdMetrics({
    host: statsd.slice(0, colon).replace(/^\[|\]$/g, ''),
    port: Number(statsd.slice(colon + 1)),
    globalTags: {vm: settings.vm.id, region: settings.vm.region},
  });
}
