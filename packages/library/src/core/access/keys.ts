/** Signing keys and the key set with which VMs verify tokens. */
import {type JSONWebKeySet, type JWK, exportJWK, generateKeyPair} from 'jose';
import {type Either, Left, Right} from 'purify-ts';

const ALGORITHM = 'EdDSA';
/** The old and the new key during a key rotation. */
export const MAXIMUM_VALID_KEYS = 2;

export interface SigningKey {
  /** Private JSON Web Key, for `createTokenSigner`. */
  readonly privateKey: JWK;
  /** Public JSON Web Key, for the key set. */
  readonly publicKey: JWK;
}

export type KeySetProblem =
  | {readonly kind: 'key-id-taken'; readonly keyId: string}
  | {readonly kind: 'too-many-keys'; readonly keyIds: readonly string[]}
  | {readonly kind: 'unknown-key'; readonly keyId: string}
  | {readonly kind: 'last-key'; readonly keyId: string};

export async function createSigningKey(keyId: string): Promise<SigningKey> {
  const pair = await generateKeyPair(ALGORITHM, {extractable: true});
  const attributes = {kid: keyId, alg: ALGORITHM, use: 'sig'};
  return {
    privateKey: {...(await exportJWK(pair.privateKey)), ...attributes},
    publicKey: {...(await exportJWK(pair.publicKey)), ...attributes},
  };
}

export function keyIdsOf(keys: JSONWebKeySet): readonly string[] {
  return keys.keys.map(key => key.kid ?? '(none)');
}

/** Adds a key. Existing keys stay valid until they are retired. */
export function addVerificationKey(
  keys: JSONWebKeySet,
  publicKey: JWK,
): Either<KeySetProblem, JSONWebKeySet> {
  const keyIds = keyIdsOf(keys);
  const keyId = publicKey.kid ?? '(none)';
  if (keyIds.includes(keyId)) {
    return Left({kind: 'key-id-taken', keyId});
  }
  if (keyIds.length >= MAXIMUM_VALID_KEYS) {
    return Left({kind: 'too-many-keys', keyIds});
  }
  return Right({keys: [...keys.keys, publicKey]});
}

/** Removes a key. Tokens signed with it are refused from then on. */
export function retireVerificationKey(
  keys: JSONWebKeySet,
  keyId: string,
): Either<KeySetProblem, JSONWebKeySet> {
  const kept = keys.keys.filter(key => key.kid !== keyId);
  if (kept.length === keys.keys.length) {
    return Left({kind: 'unknown-key', keyId});
  }
  if (kept.length === 0) {
    return Left({kind: 'last-key', keyId});
  }
  return Right({keys: kept});
}
