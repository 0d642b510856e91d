/** Who is asking, and how a VM knows. */
import type {RegionName, TeamName, VmId} from '@ibisbeam/decision';
import type {EitherAsync} from 'purify-ts';

/** Audience of a token; a token for one port is refused at the others. */
export type TokenAudience =
  'ibisbeam-caller' | 'ibisbeam-operator' | 'ibisbeam-peer';

export type Principal =
  | {readonly kind: 'operator'; readonly name: string}
  | {
      readonly kind: 'target-owner';
      readonly name: string;
      readonly team: TeamName;
    }
  | {readonly kind: 'calling-team'; readonly team: TeamName}
  | {readonly kind: 'vm'; readonly vm: VmId; readonly region: RegionName};

/** Which check failed is logged, but never told to the one who asked. */
export interface AccessError {
  readonly kind: 'missing' | 'malformed' | 'expired' | 'forged' | 'audience';
}

export interface TokenVerifier {
  verify(
    token: string | undefined,
    audience: TokenAudience,
  ): EitherAsync<AccessError, Principal>;
}

export interface TokenSigner {
  /** A signed token of the given lifetime. */
  sign(
    principal: Principal,
    audience: TokenAudience,
    lifetimeMs: number,
  ): Promise<string>;
}
