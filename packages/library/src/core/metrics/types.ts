/** Metric events that parts emit; one module turns them into statsd calls. */
export type MetricEvent =
  | {
      readonly kind: 'count';
      readonly name: MetricName;
      readonly value?: number;
      readonly tags?: Readonly<Record<string, string>>;
    }
  | {
      readonly kind: 'gauge';
      readonly name: MetricName;
      readonly value: number;
      readonly tags?: Readonly<Record<string, string>>;
    }
  | {
      readonly kind: 'timing';
      readonly name: MetricName;
      readonly valueMs: number;
      readonly tags?: Readonly<Record<string, string>>;
    };

/** `docs/operators/metrics.md` describes each. */
export type MetricName =
  | 'task.restarts'
  | 'mailbox.dropped'
  | 'request.finished'
  | 'request.refused'
  | 'request.duration'
  | 'request.in_flight'
  | 'attempt.finished'
  | 'lookup.answered'
  | 'platform.calls'
  | 'platform.failures'
  | 'configuration.generation'
  | 'configuration.stale'
  | 'membership.live'
  | 'peer.messages'
  | 'peer.rejected'
  | 'peer.dropped'
  | 'claim.decisions'
  | 'steering.notes'
  | 'access.refused'
  | 'burn.summaries';

export interface Metrics {
  emit(event: MetricEvent): void;
  close(): Promise<void>;
}
