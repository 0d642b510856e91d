/** Constants of steering that a deployment may override. */
export interface SteeringParameters {
  /** Pools with fewer slots per VM than this are held by fewer VMs. */
  readonly minimumSlotsPerHolder: number;
  /** Time by which an accepted configuration is in force everywhere. */
  readonly inForceBoundMs: number;
  /** How long a slot stays occupied after an attempt was cut off. */
  readonly cancellationGraceMs: number;
  /** Queue places of a pool for each slot that may be used. */
  readonly queueCapacityPerSlot: number;
  readonly poolLoadIntervalMs: number;
  /** Age after which a peer's pool load no longer counts. */
  readonly poolLoadLifetimeMs: number;
  /** VMs of each other region that get this VM's pool load. */
  readonly poolLoadPeersPerRegion: number;
  /** Pool loads sent in one interval, to peers in turn. */
  readonly poolLoadMessagesPerInterval: number;
  readonly maximumAttempts: number;
  /** Tokens that a retry budget may hold. */
  readonly retryBurst: number;
  /** Time that a started VM waits for its peers' answers. */
  readonly startAnswerTimeoutMs: number;
  /** One in this many successes is explained. */
  readonly explanationSampleInterval: number;
  /** Requests that may be known at once. */
  readonly maximumRequests: number;
  /** Time for which a first ejection of a target lasts; doubles each time. */
  readonly baseEjectionMs: number;
  /** Largest fraction of a pool's targets that may be ejected. */
  readonly maximumEjectedFraction: number;
  /** Time of healthy reports after which a leaving target may come back. */
  readonly leavingHoldDownMs: number;
  /** Time from a target's first use to its full limit. */
  readonly slowStartMs: number;
  /** Lease of lent slots as a multiple of the default deadline. */
  readonly leaseDeadlineMultiple: number;
  readonly leaseMarginMs: number;
  readonly borrowRetryIntervalMs: number;
  /** Quarantine after two and after three lost targets. */
  readonly quarantineMs: number;
  readonly longQuarantineMs: number;
  /** Time for which a peer region must be silent before a failover starts. */
  readonly failoverAnswerTimeoutMs: number;
  /** The part of a cap that is used, so that clocks may differ a little. */
  readonly capUtilization: number;
}

export const defaultSteeringParameters: SteeringParameters = {
  minimumSlotsPerHolder: 4,
  inForceBoundMs: 11_000,
  cancellationGraceMs: 250,
  queueCapacityPerSlot: 2,
  poolLoadIntervalMs: 1_000,
  poolLoadLifetimeMs: 4_000,
  poolLoadPeersPerRegion: 2,
  poolLoadMessagesPerInterval: 12,
  maximumAttempts: 3,
  retryBurst: 5,
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
