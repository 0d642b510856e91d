/** Full sizes and policies of the two users' deployments. */
import type {ServicePolicy} from '@ibisbeam/decision';
import type {DeploymentName} from './types.js';

export interface ServiceSpecification {
  readonly name: string;
  readonly workers: number;
  readonly slots: number;
  readonly policy: ServicePolicy;
}

export interface DeploymentSpecification {
  readonly workspace: string;
  readonly owner: string;
  readonly callingTeams: readonly string[];
  readonly regions: readonly string[];
  readonly services: readonly ServiceSpecification[];
}

export const ZONES = ['a', 'b'] as const;
export const LINK_BITS_PER_SECOND = 4_000_000_000;
export const LINK_USABLE_FRACTION = 0.5;

const SHIFT_POLICY = {capFraction: 0.1, intervalMs: 60_000, failover: true};

const INTERACTIVE_POLICY: ServicePolicy = {
  preference: 'latency',
  trafficClass: 'interactive',
  priority: 5,
  maximumPoolFraction: 1,
  defaultDeadlineMs: 2_000,
  maximumDeadlineMs: 10_000,
  maximumRequestBytes: 65_536,
  maximumHeldResponseBytes: 262_144,
  retryBudgetFraction: 0.1,
  hedging: {
    enabled: true,
    quantile: 0.95,
    budgetFraction: 0.02,
    minimumHeadroom: 0.3,
  },
  shift: SHIFT_POLICY,
  objective: {
    availability: 0.999,
    latencyThresholdMs: 250,
    latencyFraction: 0.99,
    windowDays: 28,
  },
};

const TRANSACTIONAL_POLICY: ServicePolicy = {
  ...INTERACTIVE_POLICY,
  trafficClass: 'transactional',
  priority: 7,
  defaultDeadlineMs: 10_000,
  maximumDeadlineMs: 30_000,
  retryBudgetFraction: 0.05,
  hedging: {...INTERACTIVE_POLICY.hedging, enabled: false},
  objective: {...INTERACTIVE_POLICY.objective, latencyThresholdMs: 1_500},
};

const BULK_POLICY: ServicePolicy = {
  ...INTERACTIVE_POLICY,
  trafficClass: 'bulk',
  priority: 3,
  defaultDeadlineMs: 60_000,
  maximumDeadlineMs: 300_000,
  maximumHeldResponseBytes: 0,
  hedging: {...INTERACTIVE_POLICY.hedging, enabled: false},
  objective: {
    ...INTERACTIVE_POLICY.objective,
    availability: 0.995,
    latencyThresholdMs: 30_000,
  },
};

export const DEPLOYMENT_SPECIFICATIONS: Readonly<
  Record<DeploymentName, DeploymentSpecification>
> = {
  daugava: {
    workspace: 'daugava-scholars-lodging',
    owner: 'lodging-services',
    callingTeams: ['front-desk', 'scholar-portal'],
    regions: ['riga', 'kurzeme', 'latgale'],
    services: [
      {
        name: 'room-availability',
        workers: 16,
        slots: 6,
        policy: INTERACTIVE_POLICY,
      },
      {
        name: 'booking-ledger',
        workers: 12,
        slots: 4,
        policy: TRANSACTIONAL_POLICY,
      },
      {name: 'welcome-packs', workers: 12, slots: 3, policy: BULK_POLICY},
    ],
  },
  ceoltoiri: {
    workspace: 'ceoltoiri-eadai-trust',
    owner: 'kit-services',
    callingTeams: ['band-portal', 'fitting-desk'],
    regions: ['leinster', 'munster', 'connacht'],
    services: [
      {
        name: 'measurement-sheets',
        workers: 24,
        slots: 9,
        policy: {...INTERACTIVE_POLICY, preference: 'headroom'},
      },
      {
        name: 'bookings',
        workers: 12,
        slots: 8,
        policy: {...TRANSACTIONAL_POLICY, preference: 'headroom'},
      },
      {
        name: 'pattern-library',
        workers: 12,
        slots: 3,
        policy: {
          ...BULK_POLICY,
          preference: 'headroom',
          priority: 6,
          objective: {...BULK_POLICY.objective, availability: 0.9999},
        },
      },
    ],
  },
};
