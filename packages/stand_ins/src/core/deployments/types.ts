import type {EntryVm, Target} from '@ibisbeam/decision';

/** Name of one of the two users' deployments. */
export type DeploymentName = 'daugava' | 'ceoltoiri';

export interface DeploymentOptions {
  readonly name: DeploymentName;
  /** Number of entry VMs across the three regions; each user has 7 today. */
  readonly entryVmCount: number;
  /** Divides the number of workers per service; 1 builds the full size. */
  readonly workerDivisor: number;
  /** Number of client blocks, spread evenly over the regions. */
  readonly clientBlockCount: number;
  /** Addresses of the entry VMs; placeholders in 10.0.0.0/16 by default. */
  readonly vmAddresses?: (
    index: number,
  ) => Pick<EntryVm, 'callerAddress' | 'peerAddress' | 'operatorAddress'>;
  /** Address of a target; placeholders in 10.1.0.0/16 by default. */
  readonly targetAddress?: (target: Target['id']) => string;
}
