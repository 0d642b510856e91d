import StatsDClient from 'hot-shots';
import type {MetricEvent, Metrics} from './types.js';

export interface StatsdMetricsOptions {
  readonly host: string;
  readonly port: number;
  /** Added to every metric. */
  readonly globalTags: Readonly<Record<string, string>>;
}

/** Sends metric events to a StatsD server over UDP; send errors are ignored. */
export function createStatsdMetrics(options: StatsdMetricsOptions): Metrics {
  const client = new StatsDClient({
    host: options.host,
    port: options.port,
    prefix: 'ibisbeam.',
    globalTags: {...options.globalTags},
    errorHandler: () => {},
  });

  function emit(event: MetricEvent): void {
    switch (event.kind) {
      case 'count':
        client.increment(event.name, event.value ?? 1, {...event.tags});
        return;
      case 'gauge':
        client.gauge(event.name, event.value, {...event.tags});
        return;
      case 'timing':
        client.timing(event.name, event.valueMs, {...event.tags});
        return;
    }
  }

  return {
    emit,
    close: () =>
      new Promise(resolve => {
        client.close(() => resolve());
      }),
  };
}

/** Counts metric events in memory; for tests and VMs without a StatsD server. */
export function createMemoryMetrics(): Metrics & {
  /** Sum of the counts, or the number of gauge and timing events. */
  count(name: MetricEvent['name']): number;
} {
  const counts = new Map<string, number>();
  return {
    emit: event => {
      const amount = event.kind === 'count' ? (event.value ?? 1) : 1;
      counts.set(event.name, (counts.get(event.name) ?? 0) + amount);
    },
    count: name => counts.get(name) ?? 0,
    close: () => Promise.resolve(),
  };
}
