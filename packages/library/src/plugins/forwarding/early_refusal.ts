/** The record of a request that was refused before it was routed. */
import type {RequestRecord} from '@ibisbeam/decision';
import {httpStatusOfRefusal} from '../../core/http/index.js';
import type {ValidationRefusal} from './request_validator.js';

/** @returns Undefined if the ID, service or calling team is not known. */
export function buildEarlyRefusalRecord(
  refused: ValidationRefusal,
  nowMs: number,
): RequestRecord | undefined {
  const {request, workspace, service, callingTeam, refusal} = refused;
  if (!request || !workspace || !service || !callingTeam) {
    return undefined;
  }
  return {
    request,
    workspace,
    service,
    callingTeam,
    startedAtMs: nowMs,
    durationMs: 0,
    result: 'refused',
    status: httpStatusOfRefusal(refusal),
    refusal: refusal.reason,
    attempts: 0,
    explanation: refusal.detail === undefined ? undefined : [refusal.detail],
  };
}
