/** Types of the decision whether a VM reaches targets. */

/**
 * `suspect`: connections fail, and it is not known yet whether the VM or the
 * targets are the cause. `cut-off`: other VMs reach targets and this one does
 * not.
 */
export type TargetReach = 'reaching' | 'suspect' | 'cut-off';

export interface ProbeTarget {
  /** Identifies the target's incarnation. */
  readonly incarnation: string;
  readonly zone: string;
}

/** What the VM knows beside its own connections. */
export interface ReachSurroundings {
  /** Listed targets that accept connections if they are well. */
  readonly targets: readonly ProbeTarget[];
  /** Whether any other VM is heard of. */
  readonly hasPeers: boolean;
  /**
   * Newest time on the local clock at which a serving peer reached a target;
   * undefined if no peer says so.
   */
  readonly peerReachedAtMs: number | undefined;
}

export interface ReachDecision {
  readonly reach: TargetReach;
  /** Whether the VM may accept clients. */
  readonly isReady: boolean;
  /** Targets to connect to now; each must be reported back. */
  readonly probes: readonly ProbeTarget[];
}

export interface ReachSummary {
  readonly failedTargets: number;
  readonly sinceConnectionMs: number | undefined;
  readonly sinceAnswerMs: number | undefined;
}
