import {
  type KeySetProblem,
  addVerificationKey,
  createSigningKey,
  createOperatorError,
} from '@ibisbeam/library';
import type {JSONWebKeySet} from 'jose';
import {type Either, EitherAsync, Right} from 'purify-ts';
import * as z from 'zod';
import {defineCommand} from '../../core/command.js';
import type {Dependencies, Errors} from '../../core/dependencies.js';
import {parseKeySet} from '../../core/key_files.js';
import {parseName} from '../../core/parse_inputs.js';

const PRIVATE_KEY_FILE_MODE = 0o600;
const KEY_SET_FILE_MODE = 0o644;

export const keyIdSchema = z
  .string()
  .regex(
    /^[A-Za-z0-9._-]{1,64}$/,
    'expected letters, digits, dots, dashes and underscores, at most 64',
  );

/** Creates a signing key and adds its public part to a key set. */
export const keysCreateCommand = defineCommand({
  command: 'create <private-file> <key-set-file>',
  describe: 'Create a signing key; its public part is added to the key set',
  options: builder =>
    builder
      .positional('private-file', {type: 'string', demandOption: true})
      .positional('key-set-file', {type: 'string', demandOption: true})
      .option('key-id', {
        type: 'string',
        demandOption: true,
        requiresArg: true,
        describe: 'Name of the key, such as 2026-12',
      }),
  run: (session, options) =>
    EitherAsync(async ({liftEither}) => {
      const {dependencies, dryRun} = session;
      const keyId = await liftEither(
        parseName('--key-id', keyIdSchema, options.keyId),
      );
      const keys = await liftEither(
        readKeySet(options.keySetFile, dependencies),
      );
      const created = await createSigningKey(keyId);
      const changed = await liftEither(
        addVerificationKey(keys, created.publicKey).mapLeft(problem =>
          keySetErrors(problem, options.keySetFile),
        ),
      );
      if (!dryRun) {
        await liftEither(
          dependencies.writeFile(
            options.privateFile,
            `${JSON.stringify(created.privateKey)}\n`,
            {mode: PRIVATE_KEY_FILE_MODE, replace: false},
          ),
        );
        await liftEither(
          writeKeySet(options.keySetFile, changed, dependencies),
        );
      }
      return {
        text: dryRun
          ? `Key ${keyId}: --dry-run, nothing was written.`
          : `Key ${keyId}: private part in ${options.privateFile}; valid keys in ${options.keySetFile}: ${changed.keys.length}.`,
        data: {keyId, validKeys: changed.keys.length, dryRun},
      };
    }),
});

/** Returns an empty set if the file does not exist. */
export function readKeySet(
  file: string,
  dependencies: Pick<Dependencies, 'readText' | 'exists'>,
): Either<Errors, JSONWebKeySet> {
  if (!dependencies.exists(file)) {
    return Right({keys: []});
  }
  return dependencies.readText(file).chain(parseKeySet);
}

export function writeKeySet(
  file: string,
  keys: JSONWebKeySet,
  dependencies: Pick<Dependencies, 'writeFile'>,
): Either<Errors, void> {
  const text = `${JSON.stringify(keys, null, 2)}\n`;
  return dependencies.writeFile(file, text, {
    mode: KEY_SET_FILE_MODE,
    replace: true,
  });
}

export function keySetErrors(problem: KeySetProblem, file: string): Errors {
  switch (problem.kind) {
    case 'key-id-taken':
      return [
        createOperatorError('AlreadySo', {
          what: `key ${problem.keyId}`,
          state: `in ${file}`,
        }),
      ];
    case 'too-many-keys':
      return [
        createOperatorError('InputInvalid', {
          where: file,
          expected: 'at most two valid keys; retire one first',
          found: problem.keyIds.join(', '),
        }),
      ];
    case 'unknown-key':
      return [
        createOperatorError('NotFound', {
          what: `key ${problem.keyId}`,
          where: file,
        }),
      ];
    case 'last-key':
      return [
        createOperatorError('InputInvalid', {
          where: file,
          expected: 'another valid key before this one is retired',
          found: `only ${problem.keyId}`,
        }),
      ];
  }
}
