/** What is known of a request beyond this exchange: its caller, and like ones. */
import type {CrashVerdict} from '@ibisbeam/decision';
import type {ForwardingContext} from './context.js';
import type {ExchangeRequest} from './exchange_types.js';

export interface RequestIdentity {
  /** Computed on the first call; covers the whole body. */
  fingerprint(): string;
  /** Whether requests like this one crash targets. */
  crashVerdict(): CrashVerdict;
  /** Whether the caller's API key is still that of its workspace. */
  isCallerCurrent(): boolean;
  /** Whether the request may be sent once more, after a first attempt. */
  mayRepeat(): boolean;
  /** Tell which requests were the same one, if targets crashed under them. */
  logFields(): Record<string, string | undefined>;
}

export function createRequestIdentity(
  {crashGuard, callers}: Pick<ForwardingContext, 'crashGuard' | 'callers'>,
  request: ExchangeRequest,
): RequestIdentity {
  let knownFingerprint: string | undefined;

  function fingerprint(): string {
    knownFingerprint ??= crashGuard.fingerprint(request);
    return knownFingerprint;
  }

  function crashVerdict(): CrashVerdict {
    return crashGuard.hasSuspicions()
      ? crashGuard.verdictOf(fingerprint(), request.service)
      : 'clear';
  }

  function isCallerCurrent(): boolean {
    return callers.current(request.caller) !== undefined;
  }

  return {
    fingerprint,
    crashVerdict,
    isCallerCurrent,
    mayRepeat: () => crashVerdict() === 'clear' && isCallerCurrent(),
    logFields: () => ({
      fingerprint: fingerprint(),
      path: request.incoming.url,
      client: request.clientAddress,
    }),
  };
}
