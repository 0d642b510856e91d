/**
 * The users' rule for VMs that are partitioned from all targets, as a check
 * over the first tries of clients.
 */

export interface FirstTry {
  /** VM that the client sent the request to. */
  readonly vm: string;
  readonly sentAtMs: number;
  /** False too if the connection was refused, or closed unread. */
  readonly served: boolean;
}

export interface Partition {
  readonly vms: ReadonlySet<string>;
  readonly fromMs: number;
  readonly untilMs: number;
}

export interface RecoverViolation {
  readonly servedThere: number;
  readonly triedThere: number;
  readonly servedElsewhere: number;
  readonly triedElsewhere: number;
}

/** The rule holds from this time after the partition began. */
const STABLE_WINDOW_MS = 3_000;
const SERVED_RATIO = 2 / 3;
const SLACK_TRIES = 10;
const SLACK_FRACTION = 1 / 50;

/**
 * Returns what was seen if first tries at the partitioned VMs were served less
 * than two thirds as often as those at the others, and more than 10 + 1 in 50
 * of all first tries failed there.
 */
export function findRecoverViolation(
  tries: readonly FirstTry[],
  {vms, fromMs, untilMs}: Partition,
): RecoverViolation | undefined {
  let servedThere = 0;
  let triedThere = 0;
  let servedElsewhere = 0;
  let triedElsewhere = 0;
  for (const {vm, sentAtMs, served} of tries) {
    if (sentAtMs < fromMs + STABLE_WINDOW_MS || sentAtMs >= untilMs) {
      continue;
    }
    if (vms.has(vm)) {
      triedThere += 1;
      servedThere += served ? 1 : 0;
    } else {
      triedElsewhere += 1;
      servedElsewhere += served ? 1 : 0;
    }
  }
  const failedThere = triedThere - servedThere;
  const slack = SLACK_TRIES + (triedThere + triedElsewhere) * SLACK_FRACTION;
  const shareElsewhere =
    triedElsewhere === 0 ? 1 : servedElsewhere / triedElsewhere;
  const isServedLess = servedThere < triedThere * shareElsewhere * SERVED_RATIO;
  return isServedLess && failedThere > slack
    ? {servedThere, triedThere, servedElsewhere, triedElsewhere}
    : undefined;
}
