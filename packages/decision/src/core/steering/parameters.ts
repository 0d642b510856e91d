/** Tunable parameters of steering. */
export interface SteeringParameters {
  /** A pool with fewer slots per VM than this is divided among fewer VMs. */
  readonly minimumSlotsPerVm: number;
  /** Maximum time until an accepted configuration is in force on all VMs. */
  readonly inForceBoundMs: number;
  /** How long a slot stays occupied after its attempt was interrupted. */
  readonly cancellationGraceMs: number;
  /** Queue capacity of a pool per usable slot. */
  readonly queueCapacityPerSlot: number;
  /** Interval at which pool loads are sent and other periodic work is done. */
  readonly poolLoadIntervalMs: number;
  /** Age after which a peer's pool load is ignored. */
  readonly poolLoadLifetimeMs: number;
  /** Number of VMs per other region that get pool loads and start queries. */
  readonly poolLoadPeersPerRegion: number;
  /** Maximum number of peers that get pool loads per interval, in rotation. */
  readonly poolLoadMessagesPerInterval: number;
  /** Number of attempts, hedges included, after which retries stop. */
  readonly maximumAttempts: number;
  /** Maximum tokens in a retry budget. */
  readonly maximumRetryTokens: number;
  /** How long a started VM waits for its peers' start answers. */
  readonly startAnswerTimeoutMs: number;
  /** One in this many attempts is explained in a decision note. */
  readonly explanationSampleInterval: number;
  /** Maximum number of concurrent requests, queued ones included. */
  readonly maximumRequests: number;
  /** Duration of a target's first ejection; doubles with each further one. */
  readonly baseEjectionMs: number;
  /** Maximum fraction of a pool's targets that may be ejected at once. */
  readonly maximumEjectedFraction: number;
  /** How long a leaving target must report healthy before it is used again. */
  readonly leavingHoldDownMs: number;
  /** Slow start: time from a target's first use to its full limit. */
  readonly slowStartMs: number;
  /** Duration of a slot lease as a multiple of the longest default deadline. */
  readonly leaseDeadlineMultiple: number;
  /** Additional time after a lease before the lender reuses its slots. */
  readonly leaseMarginMs: number;
  /** Time until peers are asked for slots again after none has lent any. */
  readonly borrowRetryIntervalMs: number;
  /** Duration of a suspicion, and of a quarantine after two lost targets. */
  readonly quarantineMs: number;
  /** Duration of a quarantine after three or more lost targets. */
  readonly longQuarantineMs: number;
  /**
   * How long to wait for a peer that knows of a running failover before this VM
   * starts its own.
   */
  readonly failoverAnswerTimeoutMs: number;
  /** Fraction of a shift cap that is used; the rest allows for clock skew. */
  readonly capUtilization: number;
}

export const defaultSteeringParameters: SteeringParameters = {
  minimumSlotsPerVm: 4,
  inForceBoundMs: 11_000,
  cancellationGraceMs: 250,
  queueCapacityPerSlot: 2,
  poolLoadIntervalMs: 1_000,
  poolLoadLifetimeMs: 4_000,
  poolLoadPeersPerRegion: 2,
  poolLoadMessagesPerInterval: 12,
  maximumAttempts: 3,
  maximumRetryTokens: 5,
  startAnswerTimeoutMs: 2_000,
  explanationSampleInterval: 1_000,
  maximumRequests: 20_000,
  baseEjectionMs: 5_000,
  maximumEjectedFraction: 0.5,
  leavingHoldDownMs: 30_000,
  slowStartMs: 10_000,
  leaseDeadlineMultiple: 3,
  leaseMarginMs: 1_000,
  borrowRetryIntervalMs: 20,
  quarantineMs: 600_000,
  longQuarantineMs: 86_400_000,
  failoverAnswerTimeoutMs: 1_000,
  capUtilization: 0.75,
};
