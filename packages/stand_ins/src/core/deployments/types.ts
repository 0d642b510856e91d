import type {EntryVm, Target} from '@ibisbeam/decision';

/** Which of the two users' deployments to build. */
export type DeploymentName = 'daugava' | 'ceoltoiri';

export interface DeploymentOptions {
  readonly name: DeploymentName;
  /** Entry VMs over the three regions; today each user has 7. */
  readonly entryVmCount: number;
  /** Divides the number of workers; 1 is the size of the brief. */
  readonly workerDivisor: number;
  /** Client blocks, spread evenly over the regions. */
  readonly clientBlockCount: number;
  /** Gives the real addresses where they are known; else made-up ones. */
  readonly vmAddresses?: (
    index: number,
  ) => Pick<EntryVm, 'callerAddress' | 'peerAddress' | 'operatorAddress'>;
  readonly targetAddress?: (target: Target['id']) => string;
}
