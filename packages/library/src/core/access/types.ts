/** Principals, and the tokens that authenticate them. */
import type {RegionName, TeamName, VmId} from '@ibisbeam/decision';
import type {EitherAsync} from 'purify-ts';

/** Audience of a token; each port refuses tokens for other audiences. */
export type TokenAudience =
  'ibisbeam-caller' | 'ibisbeam-operator' | 'ibisbeam-peer';

/** The party that a token authenticates. */
export type Principal =
  | {readonly kind: 'operator'; readonly name: string}
  | {
      readonly kind: 'target-owner';
      readonly name: string;
      readonly team: TeamName;
    }
  | {readonly kind: 'calling-team'; readonly team: TeamName}
  | {readonly kind: 'vm'; readonly vm: VmId; readonly region: RegionName};

/** Why a token was refused; logged, but never disclosed to the sender. */
export interface AccessError {
  readonly kind: 'missing' | 'malformed' | 'expired' | 'forged' | 'audience';
}

export interface TokenVerifier {
  /** Verifies signature, expiry and audience; `undefined` counts as missing. */
  verify(
    token: string | undefined,
    audience: TokenAudience,
  ): EitherAsync<AccessError, Principal>;
}

export interface TokenSigner {
  /** Returns a signed JWT that expires after the lifetime. */
  sign(
    principal: Principal,
    audience: TokenAudience,
    lifetimeMs: number,
  ): Promise<string>;
}
