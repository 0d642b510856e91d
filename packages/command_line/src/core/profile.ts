/** Addresses and credentials from a profile file; flags take precedence. */
import {
  type SecretReference,
  createOperatorError,
  secretReferenceSchema,
} from '@ibisbeam/library';
import {socketAddressSchema} from '@ibisbeam/decision';
import {type Either, Left, Right} from 'purify-ts';
import * as z from 'zod';
import type {Dependencies, Errors} from './dependencies.js';
import {parseFile} from './parse_file.js';

export const PROFILE_VARIABLE = 'IBISBEAM_PROFILE';

/** A profile file, JSON with comments. Every key is optional. */
export const profileSchema = z.strictObject({
  store: z
    .strictObject({
      url: z.url({protocol: /^https?$/}),
      token: secretReferenceSchema.optional(),
    })
    .optional(),
  /** Operator ports of some VMs; any one is enough for status. */
  operatorPorts: z.array(socketAddressSchema).default([]),
  /** The operator's token, with audience `ibisbeam-operator`. */
  token: secretReferenceSchema.optional(),
  /** JSON Web Key Set that verifies tokens. */
  verificationKeys: secretReferenceSchema.optional(),
});
export type Profile = z.infer<typeof profileSchema>;

export interface ConnectionFlags {
  readonly profile?: string;
  readonly storeUrl?: string;
  readonly storeTokenFile?: string;
  readonly tokenFile?: string;
  readonly keysFile?: string;
  readonly vm?: readonly string[];
}

/** Reads the profile file, if one is given, and overrides it with the flags. */
export function loadProfile(
  flags: ConnectionFlags,
  dependencies: Pick<Dependencies, 'environment' | 'readText'>,
): Either<Errors, Profile> {
  const file = flags.profile ?? dependencies.environment[PROFILE_VARIABLE];
  const read: Either<Errors, Profile> = file
    ? dependencies
        .readText(file)
        .chain(text => parseFile(text, file, profileSchema))
    : Right({operatorPorts: []});
  return read.chain(profile => applyFlags(profile, flags));
}

function applyFlags(
  profile: Profile,
  flags: ConnectionFlags,
): Either<Errors, Profile> {
  const store = flags.storeUrl
    ? {...profile.store, url: flags.storeUrl}
    : profile.store;
  const storeToken = fileReference(flags.storeTokenFile) ?? store?.token;
  const merged = {
    store: store && {...store, token: storeToken},
    operatorPorts: flags.vm?.length ? flags.vm : profile.operatorPorts,
    token: fileReference(flags.tokenFile) ?? profile.token,
    verificationKeys: fileReference(flags.keysFile) ?? profile.verificationKeys,
  };
  const parsed = profileSchema.safeParse(merged);
  if (parsed.success) {
    return Right(parsed.data);
  }
  const errors = parsed.error.issues.map(issue =>
    createOperatorError('UsageInvalid', {
      where: FLAG_BY_KEY[String(issue.path[0])] ?? issue.path.join('.'),
      expected: EXPECTED_BY_KEY[String(issue.path[0])] ?? issue.message,
      found: JSON.stringify(flags.storeUrl ?? flags.vm),
    }),
  );
  return Left(errors);
}

const FLAG_BY_KEY: Readonly<Record<string, string>> = {
  store: '--store-url',
  operatorPorts: '--vm',
};

const EXPECTED_BY_KEY: Readonly<Record<string, string>> = {
  store: 'a URL such as http://10.0.0.1:8000',
  operatorPorts: 'an IP address and a port such as 10.0.1.4:8082',
};

function fileReference(file: string | undefined): SecretReference | undefined {
  return file === undefined ? undefined : {file};
}
