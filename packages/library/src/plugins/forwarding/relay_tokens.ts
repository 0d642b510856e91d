/** Signs the token for relays to peers and renews it before it expires. */
import type {TaskContext} from '../../core/kernel/index.js';

const TOKEN_LIFETIME_MS = 300_000;
/** Covers the longest queueing in a peer and a clock skew of 1 s. */
const RENEWAL_MARGIN_MS = 60_000;

export interface RelayTokens {
  /** Returns a signed token that is valid for at least the renewal margin. */
  current(): Promise<string>;
}

export function createRelayTokens(
  context: Pick<TaskContext, 'settings' | 'timers' | 'tokenSigner'>,
): RelayTokens {
  const {settings, timers, tokenSigner} = context;
  let token: Promise<string> | undefined;
  let renewAtWallMs = 0;

  function sign(): Promise<string> {
    const {id, region} = settings.vm;
    return tokenSigner.sign(
      {kind: 'vm', vm: id, region},
      'ibisbeam-peer',
      TOKEN_LIFETIME_MS,
    );
  }

  return {
    current: () => {
      if (!token || timers.wallMs() >= renewAtWallMs) {
        renewAtWallMs = timers.wallMs() + TOKEN_LIFETIME_MS - RENEWAL_MARGIN_MS;
        token = sign();
      }
      return token;
    },
  };
}
