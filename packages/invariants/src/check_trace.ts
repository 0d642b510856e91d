import {
  checkAmplification,
  checkAtMostOnce,
  checkConfigurations,
  checkCrashingRequests,
  checkGracefulStops,
  checkLeavingTargets,
  checkLinkBudget,
  checkOverload,
  checkOwnWholeAnswers,
  checkShiftCap,
  checkShiftProgress,
  checkTruthfulRefusals,
} from './checks/index.js';
import type {Check, CheckName, Trace, Violation} from './trace.js';

export const CHECKS: Readonly<Record<CheckName, Check>> = {
  overload: checkOverload,
  'shift-cap': checkShiftCap,
  'shift-progress': checkShiftProgress,
  'link-budget': checkLinkBudget,
  'truthful-refusal': checkTruthfulRefusals,
  'at-most-once': checkAtMostOnce,
  'own-whole-answer': checkOwnWholeAnswers,
  'leaving-target': checkLeavingTargets,
  'graceful-stop': checkGracefulStops,
  configuration: checkConfigurations,
  'crashing-request': checkCrashingRequests,
  amplification: checkAmplification,
};

/** Returns the violations found by all checks, in no particular order. */
export function checkTrace(trace: Trace): readonly Violation[] {
  const violations: Violation[] = [];
  for (const check of Object.values(CHECKS)) {
    violations.push(...check(trace));
  }
  return violations;
}
