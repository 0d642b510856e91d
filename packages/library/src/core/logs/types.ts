/** Names of log events, documented in `docs/operators/logs.md`. */
export type LogEvent =
  | 'vm-started'
  | 'vm-stopping'
  | 'vm-stopped'
  | 'stop-bound-hit'
  | 'task-started'
  | 'task-failed'
  | 'task-restarted'
  | 'mailbox-full'
  | 'request-finished'
  | 'request-refused'
  | 'lookup-refused'
  | 'input-refused'
  | 'configuration-in-force'
  | 'configuration-stale'
  | 'configuration-fresh'
  | 'configuration-rejected'
  | 'store-unreachable'
  | 'store-reachable'
  | 'store-restored'
  | 'watch-gap'
  | 'vm-state-changed'
  | 'self-doubt'
  | 'peer-connected'
  | 'peer-disconnected'
  | 'peer-refused'
  | 'claim-unresolved'
  | 'claims-collected'
  | 'steering-note'
  | 'operator-call'
  | 'access-refused'
  | 'burn-summary-written'
  | 'burn-summary-failed'
  | 'accept-backlog'
  | 'attempt-failed'
  | 'target-added'
  | 'target-draining'
  | 'target-cold'
  | 'target-rate-limit'
  | 'target-removed'
  | 'target-entry-refused'
  | 'evacuations-changed'
  | 'registration-failed'
  | 'peer-link-failed'
  | 'peer-backlog'
  | 'lines-dropped'
  | 'crash-suspected'
  | 'event-loop-delayed'
  | 'settings-reloaded'
  | 'settings-rejected';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

export type LogFields = Readonly<Record<string, unknown>>;

export interface Logger {
  log(level: LogLevel, event: LogEvent, fields?: LogFields): void;
}
