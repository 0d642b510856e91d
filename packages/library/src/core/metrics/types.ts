/** A metric event; the `Metrics` implementation decides how it is exported. */
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

/** Documented in `docs/operators/metrics.md`. */
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
