import {regionNameSchema, teamNameSchema, vmIdSchema} from '@ibisbeam/decision';
import {
  type Principal,
  type TokenAudience,
  createTokenSigner,
} from '@ibisbeam/library';
import {type Either, EitherAsync, Left, Right} from 'purify-ts';
import * as z from 'zod';
import {defineCommand} from '../../core/command.js';
import type {Errors} from '../../core/dependencies.js';
import {parsePrivateKey} from '../../core/key_files.js';
import {
  invalidInput,
  parseDuration,
  parseName,
} from '../../core/parse_inputs.js';
import {describePrincipal} from '../../core/session.js';
import {formatTimestamp} from '@ibisbeam/library';

const TOKEN_FILE_MODE = 0o600;
const MAX_LIFETIME_MS = 90 * 86_400_000;
const principalNameSchema = z
  .string({error: 'expected a name of 1 to 128 characters'})
  .min(1)
  .max(128);

const AUDIENCES: Readonly<Record<string, TokenAudience>> = {
  caller: 'ibisbeam-caller',
  operator: 'ibisbeam-operator',
  peer: 'ibisbeam-peer',
};

/** Signs a token for one principal and one audience. */
export const tokenIssueCommand = defineCommand({
  command: 'issue',
  describe: 'Sign a token for an operator, target owner, calling team or VM',
  options: builder =>
    builder
      .option('signing-key', {
        type: 'string',
        demandOption: true,
        requiresArg: true,
        describe: 'File with the private key',
      })
      .option('kind', {
        choices: ['operator', 'target-owner', 'calling-team', 'vm'] as const,
        demandOption: true,
        requiresArg: true,
      })
      .option('audience', {
        choices: ['caller', 'operator', 'peer'] as const,
        demandOption: true,
        requiresArg: true,
        describe: 'Kind of port that accepts the token',
      })
      .option('name', {type: 'string', requiresArg: true})
      .option('team', {type: 'string', requiresArg: true})
      .option('vm-id', {type: 'string', requiresArg: true})
      .option('region', {type: 'string', requiresArg: true})
      .option('lifetime', {
        type: 'string',
        default: '8h',
        requiresArg: true,
        describe: 'At most 90d',
      })
      .option('out', {
        type: 'string',
        requiresArg: true,
        describe: 'File for the token; printed if absent',
      }),
  run: (session, options) =>
    EitherAsync(async ({liftEither}) => {
      const {dependencies, dryRun} = session;
      const principal = await liftEither(readPrincipal(options));
      const lifetimeMs = await liftEither(readLifetime(options.lifetime));
      const key = await liftEither(
        dependencies.readText(options.signingKey).chain(parsePrivateKey),
      );
      const signer = await createTokenSigner(key, dependencies.timers);
      const audience = AUDIENCES[options.audience]!;
      const token = await signer.sign(principal, audience, lifetimeMs);
      const expiresAtMs = dependencies.timers.wallMs() + lifetimeMs;
      const summary = `Token for ${describePrincipal(principal)}, audience ${audience}, until ${formatTimestamp(expiresAtMs)}`;
      const data = {principal, audience, expiresAtMs, keyId: key.kid};
      if (dryRun) {
        return {
          text: `${summary}: --dry-run, nothing was written.`,
          data: {...data, dryRun},
        };
      }
      if (options.out === undefined) {
        return {text: token, data: {...data, token}};
      }
      await liftEither(
        dependencies.writeFile(options.out, `${token}\n`, {
          mode: TOKEN_FILE_MODE,
          replace: true,
        }),
      );
      return {
        text: `${summary}, written to ${options.out}.`,
        data: {...data, file: options.out},
      };
    }),
});

interface PrincipalOptions {
  readonly kind: 'operator' | 'target-owner' | 'calling-team' | 'vm';
  readonly name: string | undefined;
  readonly team: string | undefined;
  readonly vmId: string | undefined;
  readonly region: string | undefined;
}

/** Options that each kind accepts; any others are rejected, not ignored. */
const OPTIONS_BY_KIND: Readonly<
  Record<PrincipalOptions['kind'], readonly string[]>
> = {
  operator: ['name'],
  'target-owner': ['name', 'team'],
  'calling-team': ['team'],
  vm: ['vmId', 'region'],
};

function readPrincipal(options: PrincipalOptions): Either<Errors, Principal> {
  const {kind, name, team, vmId, region} = options;
  for (const [option, value] of Object.entries({name, team, vmId, region})) {
    if (value !== undefined && !OPTIONS_BY_KIND[kind].includes(option)) {
      return Left(invalidInput(`--kind ${kind}`, `no option ${option}`, value));
    }
  }
  switch (kind) {
    case 'operator':
      return parseName('--name', principalNameSchema, name).map(parsed => ({
        kind,
        name: parsed,
      }));
    case 'target-owner':
      return parseName('--name', principalNameSchema, name).chain(parsedName =>
        parseName('--team', teamNameSchema, team).map(parsedTeam => ({
          kind,
          name: parsedName,
          team: parsedTeam,
        })),
      );
    case 'calling-team':
      return parseName('--team', teamNameSchema, team).map(parsed => ({
        kind,
        team: parsed,
      }));
    case 'vm':
      return parseName('--vm-id', vmIdSchema, vmId).chain(vm =>
        parseName('--region', regionNameSchema, region).map(parsed => ({
          kind,
          vm,
          region: parsed,
        })),
      );
  }
}

function readLifetime(text: string): Either<Errors, number> {
  return parseDuration('--lifetime', text).chain(lifetimeMs =>
    lifetimeMs >= 1_000 && lifetimeMs <= MAX_LIFETIME_MS
      ? Right(lifetimeMs)
      : Left(invalidInput('--lifetime', '1s to 90d', text)),
  );
}
