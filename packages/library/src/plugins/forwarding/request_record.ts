/** The record of a finished request. */
import type {
  AttemptDestination,
  RefusalReason,
  RequestMetadata,
  RequestRecord,
} from '@ibisbeam/decision';

/** How a request ended, before its delivery to the caller is confirmed. */
export interface Settlement {
  readonly result: RequestRecord['result'];
  readonly status: number;
  readonly refusal?: RefusalReason;
}

export interface RequestRecordInputs {
  readonly metadata: RequestMetadata;
  readonly settlement: Settlement;
  /** Whether the whole response was written to the caller's connection. */
  readonly delivered: boolean;
  readonly startedAtWallMs: number;
  readonly durationMs: number;
  readonly attempts: number;
  readonly destination?: AttemptDestination;
  readonly explanation: readonly string[];
}

export function buildRequestRecord(inputs: RequestRecordInputs): RequestRecord {
  const {metadata, settlement} = inputs;
  const undelivered = settlement.result === 'answered' && !inputs.delivered;
  return {
    request: metadata.id,
    workspace: metadata.workspace,
    service: metadata.service,
    callingTeam: metadata.callingTeam,
    startedAtMs: inputs.startedAtWallMs,
    durationMs: inputs.durationMs,
    result: undelivered ? 'caller-gone' : settlement.result,
    status: settlement.status,
    refusal: settlement.refusal,
    attempts: inputs.attempts,
    destination: inputs.destination,
    explanation: inputs.explanation,
  };
}
