/** Signs JWTs, and verifies them against a set of public keys. */
import {regionNameSchema, teamNameSchema, vmIdSchema} from '@ibisbeam/decision';
import {
  type JSONWebKeySet,
  type JWK,
  SignJWT,
  createLocalJWKSet,
  errors,
  importJWK,
  jwtVerify,
} from 'jose';
import {type Either, EitherAsync, Left, Right} from 'purify-ts';
import * as z from 'zod';
import type {TimerService} from '../timers/index.js';
import type {
  AccessError,
  Principal,
  TokenAudience,
  TokenSigner,
  TokenVerifier,
} from './types.js';

const ISSUER = 'ibisbeam';
/** Verified tokens cached until they expire, to skip signature checks. */
const TOKEN_CACHE_CAPACITY = 4_096;
const MILLISECONDS_PER_SECOND = 1_000;

const principalSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('operator'), name: z.string().min(1).max(128)}),
  z.object({
    kind: z.literal('target-owner'),
    name: z.string().min(1).max(128),
    team: teamNameSchema,
  }),
  z.object({kind: z.literal('calling-team'), team: teamNameSchema}),
  z.object({
    kind: z.literal('vm'),
    vm: vmIdSchema,
    region: regionNameSchema,
  }),
]);

interface CachedToken {
  readonly principal: Principal;
  readonly expiresAtWallMs: number;
}

/** @param keys Public keys; two may be valid during a key rotation. */
export function createTokenVerifier(
  keys: JSONWebKeySet,
  timers: Pick<TimerService, 'wallMs'>,
): TokenVerifier {
  const keySet = createLocalJWKSet(keys);
  const tokenCache = new Map<string, CachedToken>();

  function findCached(cacheKey: string): Principal | undefined {
    const cached = tokenCache.get(cacheKey);
    if (!cached) {
      return undefined;
    }
    if (cached.expiresAtWallMs <= timers.wallMs()) {
      tokenCache.delete(cacheKey);
      return undefined;
    }
    return cached.principal;
  }

  function addToCache(cacheKey: string, token: CachedToken): void {
    if (tokenCache.size >= TOKEN_CACHE_CAPACITY) {
      const oldest = tokenCache.keys().next().value;
      if (oldest !== undefined) {
        tokenCache.delete(oldest);
      }
    }
    tokenCache.set(cacheKey, token);
  }

  async function verifyToken(
    token: string,
    audience: TokenAudience,
  ): Promise<Either<AccessError, Principal>> {
    try {
      const {payload} = await jwtVerify(token, keySet, {
        issuer: ISSUER,
        audience,
        currentDate: new Date(timers.wallMs()),
        requiredClaims: ['exp', 'principal'],
      });
      const principal = principalSchema.safeParse(payload['principal']);
      if (!principal.success) {
        return Left({kind: 'malformed'});
      }
      addToCache(`${audience} ${token}`, {
        principal: principal.data,
        expiresAtWallMs: payload.exp! * MILLISECONDS_PER_SECOND,
      });
      return Right(principal.data);
    } catch (error) {
      return Left(accessError(error));
    }
  }

  return {
    verify: (token, audience) =>
      EitherAsync(async ({liftEither}) => {
        if (!token) {
          return liftEither(Left({kind: 'missing'}));
        }
        const cached = findCached(`${audience} ${token}`);
        return cached ?? liftEither(await verifyToken(token, audience));
      }),
  };
}

function accessError(error: unknown): AccessError {
  if (error instanceof errors.JWTExpired) {
    return {kind: 'expired'};
  }
  if (error instanceof errors.JWTClaimValidationFailed) {
    return {kind: error.claim === 'aud' ? 'audience' : 'malformed'};
  }
  if (
    error instanceof errors.JWSSignatureVerificationFailed ||
    error instanceof errors.JWKSNoMatchingKey
  ) {
    return {kind: 'forged'};
  }
  return {kind: 'malformed'};
}

/** @param privateKey Private JSON Web Key with `alg` and `kid`. */
export async function createTokenSigner(
  privateKey: JWK,
  timers: Pick<TimerService, 'wallMs'>,
): Promise<TokenSigner> {
  const algorithm = privateKey.alg ?? 'EdDSA';
  const key = await importJWK(privateKey, algorithm);

  return {
    sign: (principal, audience, lifetimeMs) => {
      const issuedAtSeconds = Math.floor(
        timers.wallMs() / MILLISECONDS_PER_SECOND,
      );
      const lifetimeSeconds = Math.ceil(lifetimeMs / MILLISECONDS_PER_SECOND);
      return new SignJWT({principal})
        .setProtectedHeader({alg: algorithm, kid: privateKey.kid})
        .setIssuer(ISSUER)
        .setAudience(audience)
        .setIssuedAt(issuedAtSeconds)
        .setExpirationTime(issuedAtSeconds + lifetimeSeconds)
        .sign(key);
    },
  };
}
