/** What the parts of one exchange share, and each of them brings up to date. */
import type {Placement} from '@ibisbeam/decision';
import type {RunningAttempt, RunningRelay} from './exchange_types.js';

export interface ExchangeState {
  readonly running: Set<RunningAttempt | RunningRelay>;
  /** Incarnations of targets that were chosen already. */
  readonly triedTargets: Set<string>;
  /** Number of attempts at targets. */
  attemptsStarted: number;
  /** Whether any target or peer may have received the request. */
  wasSent: boolean;
  /** Number of targets and peers that may have run it, or may run it yet. */
  possiblyExecuted: number;
  /** Whether its outcome is decided. */
  isFinished: boolean;
  lastPlacement: Placement | undefined;
  lastAttemptAtMs: number | undefined;
  /** At the target that was chosen last; 0 before the first choice. */
  expectedWaitMs: number;
}

export function createExchangeState(): ExchangeState {
  return {
    running: new Set(),
    triedTargets: new Set(),
    attemptsStarted: 0,
    wasSent: false,
    possiblyExecuted: 0,
    isFinished: false,
    lastPlacement: undefined,
    lastAttemptAtMs: undefined,
    expectedWaitMs: 0,
  };
}
