/** One run of a command, with resources that are opened on first use. */
import {
  type PlatformStore,
  type Principal,
  type SecretReference,
  createTokenVerifier,
  createOperatorError,
} from '@ibisbeam/library';
import type {JSONWebKeySet} from 'jose';
import {type Either, EitherAsync, Left, Right} from 'purify-ts';
import type {Dependencies, Errors, OpenStore} from './dependencies.js';
import {parseKeySet} from './key_files.js';
import {type ConnectionFlags, type Profile, loadProfile} from './profile.js';

export interface SessionFlags extends ConnectionFlags {
  readonly dryRun: boolean;
  readonly timeoutMs: number;
}

export interface Session {
  readonly dependencies: Dependencies;
  readonly dryRun: boolean;
  readonly timeoutMs: number;
  profile(): Either<Errors, Profile>;
  store(): Either<Errors, PlatformStore>;
  /** The token of the flags or the profile, not verified. */
  token(): Either<Errors, string>;
  /** `undefined` if neither a flag nor the profile names a key set. */
  verificationKeys(): Either<Errors, JSONWebKeySet | undefined>;
  /** The principal of the token, verified with the verification keys. */
  principal(): EitherAsync<Errors, Principal>;
  close(): void;
}

export function createSession(
  flags: SessionFlags,
  dependencies: Dependencies,
): Session {
  let openedStore: OpenStore | undefined;

  const profile = () => loadProfile(flags, dependencies);

  function store(): Either<Errors, PlatformStore> {
    if (openedStore) {
      return Right(openedStore.store);
    }
    return profile().chain(found => {
      if (!found.store) {
        return Left(
          missingOption('--store-url', "the URL of the platform's store"),
        );
      }
      const {url, token} = found.store;
      const secret: Either<Errors, string | undefined> = token
        ? readSecret('store.token', token)
        : Right(undefined);
      return secret.map(text => {
        const {timeoutMs} = flags;
        openedStore = dependencies.openStore({url, token: text, timeoutMs});
        return openedStore.store;
      });
    });
  }

  function token(): Either<Errors, string> {
    return profile().chain(found => {
      if (!found.token) {
        return Left(missingOption('--token-file', 'a file with your token'));
      }
      return readSecret('token', found.token);
    });
  }

  function verificationKeys(): Either<Errors, JSONWebKeySet | undefined> {
    return profile().chain(found => {
      if (!found.verificationKeys) {
        return Right<JSONWebKeySet | undefined, Errors>(undefined);
      }
      return readSecret('verificationKeys', found.verificationKeys).chain(
        parseKeySet,
      );
    });
  }

  function requiredKeys(): Either<Errors, JSONWebKeySet> {
    return verificationKeys().chain(keySet =>
      keySet
        ? Right(keySet)
        : Left(
            missingOption('--keys-file', 'a file with the verification keys'),
          ),
    );
  }

  function principal(): EitherAsync<Errors, Principal> {
    return EitherAsync(async ({liftEither}) => {
      const keySet = await liftEither(requiredKeys());
      const text = await liftEither(token());
      const verifier = createTokenVerifier(keySet, dependencies.timers);
      const verified = await verifier.verify(text, 'ibisbeam-operator').run();
      return liftEither(
        verified.mapLeft(() => [
          createOperatorError('TokenRefused', {where: 'the command line'}),
        ]),
      );
    });
  }

  function readSecret(
    key: string,
    reference: SecretReference,
  ): Either<Errors, string> {
    if ('file' in reference) {
      return dependencies.readText(reference.file).map(text => text.trim());
    }
    const value = dependencies.environment[reference.environmentVariable];
    if (value) {
      return Right(value.trim());
    }
    const description = `environment variable ${reference.environmentVariable}`;
    return Left([
      createOperatorError('SecretMissing', {key, reference: description}),
    ]);
  }

  return {
    dependencies,
    dryRun: flags.dryRun,
    timeoutMs: flags.timeoutMs,
    profile,
    store,
    token,
    verificationKeys,
    principal,
    close: () => openedStore?.close(),
  };
}

function missingOption(flag: string, expected: string): Errors {
  return [
    createOperatorError('UsageInvalid', {
      where: flag,
      expected: `${expected}, by flag or in the profile`,
      found: 'nothing',
    }),
  ];
}

/** Formats a principal for messages. */
export function describePrincipal(principal: Principal): string {
  switch (principal.kind) {
    case 'operator':
      return `operator ${principal.name}`;
    case 'target-owner':
      return `target owner ${principal.name} of ${principal.team}`;
    case 'calling-team':
      return `calling team ${principal.team}`;
    case 'vm':
      return `VM ${principal.vm}`;
  }
}

/**
 * Returns the principal; an error unless it is an operator. Every change except
 * those of approvals requires an operator.
 */
export function requireOperator(
  session: Session,
  action: string,
): EitherAsync<Errors, Principal & {kind: 'operator'}> {
  return session.principal().chain(principal =>
    EitherAsync.liftEither(
      principal.kind === 'operator'
        ? Right(principal)
        : Left([
            createOperatorError('NotAllowed', {
              action,
              needed: 'an operator',
              found: describePrincipal(principal),
            }),
          ]),
    ),
  );
}
