/** Carries the calls of the claims state machine out on the store. */
import type {ClaimStoreCall, ClaimStoreResult} from '@ibisbeam/decision';
import type {EitherAsync} from 'purify-ts';
import type {
  PlatformError,
  PlatformObject,
  PlatformStore,
} from '../../core/platform/index.js';

const CLAIM = {purpose: 'claim'} as const;

export async function callStore(
  platform: PlatformStore,
  operation: ClaimStoreCall,
): Promise<ClaimStoreResult> {
  switch (operation.kind) {
    case 'create': {
      const {key, record} = operation;
      return write(platform.create(key, record, CLAIM));
    }
    case 'update': {
      const {key, expected, record} = operation;
      return write(platform.update(key, expected, record, CLAIM));
    }
    case 'read':
      return read(platform.read(operation.key, CLAIM));
  }
}

async function write(
  call: EitherAsync<PlatformError, PlatformObject>,
): Promise<ClaimStoreResult> {
  return (await call.run()).caseOf<ClaimStoreResult>({
    Left: resultOfError,
    Right: ({version}) => ({kind: 'written', version}),
  });
}

async function read(
  call: EitherAsync<PlatformError, PlatformObject>,
): Promise<ClaimStoreResult> {
  return (await call.run()).caseOf<ClaimStoreResult>({
    Left: resultOfError,
    Right: ({version, value}) => ({kind: 'found', version, value}),
  });
}

function resultOfError(error: PlatformError): ClaimStoreResult {
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
