/** Keys and tokens for tests, benchmarks and the demonstration. */
import {
  type Principal,
  type TimerService,
  type TokenAudience,
  type TokenSigner,
  type TokenVerifier,
  createTokenSigner,
  createTokenVerifier,
} from '@ibisbeam/library';
import {type JSONWebKeySet, type JWK, exportJWK, generateKeyPair} from 'jose';

const ALGORITHM = 'EdDSA';
const KEY_ID = 'stand-in';
const TOKEN_LIFETIME_MS = 3_600_000;

export interface StandInKeys {
  readonly publicKeys: JSONWebKeySet;
  readonly privateKey: JWK;
  readonly verifier: TokenVerifier;
  readonly signer: TokenSigner;
  /** Returns a token that is valid for one hour. */
  token(principal: Principal, audience: TokenAudience): Promise<string>;
}

export async function createStandInKeys(
  timers: Pick<TimerService, 'wallMs'>,
): Promise<StandInKeys> {
  const pair = await generateKeyPair(ALGORITHM, {extractable: true});
  const publicKey = await exportJWK(pair.publicKey);
  const privateKey: JWK = {
    ...(await exportJWK(pair.privateKey)),
    alg: ALGORITHM,
    kid: KEY_ID,
  };
  const publicKeys = {keys: [{...publicKey, alg: ALGORITHM, kid: KEY_ID}]};
  const signer = await createTokenSigner(privateKey, timers);
  return {
    publicKeys,
    privateKey,
    signer,
    verifier: createTokenVerifier(publicKeys, timers),
    token: (principal, audience) =>
      signer.sign(principal, audience, TOKEN_LIFETIME_MS),
  };
}
