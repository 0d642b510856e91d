/** Executes the store calls that the claims state machine requests. */
import type {ClaimStoreCall, ClaimStoreResult} from '@ibisbeam/decision';
import type {EitherAsync} from 'purify-ts';
import type {
  PlatformError,
  PlatformObject,
  PlatformStore,
} from '../../core/platform/index.js';

const CALL_OPTIONS = {purpose: 'claim'} as const;

export async function executeClaimStoreCall(
  platform: PlatformStore,
  operation: ClaimStoreCall,
): Promise<ClaimStoreResult> {
  switch (operation.kind) {
    case 'create': {
      const {key, record} = operation;
      return write(platform.create(key, record, CALL_OPTIONS));
    }
    case 'update': {
      const {key, expected, record} = operation;
      return write(platform.update(key, expected, record, CALL_OPTIONS));
    }
    case 'read':
      return read(platform.read(operation.key, CALL_OPTIONS));
  }
}

async function write(
  call: EitherAsync<PlatformError, PlatformObject>,
): Promise<ClaimStoreResult> {
  return (await call.run()).caseOf<ClaimStoreResult>({
    Left: toStoreResult,
    Right: ({version}) => ({kind: 'written', version}),
  });
}

async function read(
  call: EitherAsync<PlatformError, PlatformObject>,
): Promise<ClaimStoreResult> {
  return (await call.run()).caseOf<ClaimStoreResult>({
    Left: toStoreResult,
    Right: ({version, value}) => ({kind: 'found', version, value}),
  });
}

function toStoreResult(error: PlatformError): ClaimStoreResult {
  switch (error.kind) {
    case 'conflict':
      return {kind: 'conflict', current: error.current};
    case 'not-found':
    case 'lost-answer':
      return {kind: error.kind};
    case 'unavailable':
      return {kind: 'unavailable', retryAfterMs: error.retryAfterMs};
    case 'watch-gap':
    case 'rejected':
      return {kind: 'unavailable'};
  }
}
