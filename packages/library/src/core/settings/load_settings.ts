import {readFileSync} from 'node:fs';
import {type Either, Left, Right} from 'purify-ts';
import {type OperatorError, createOperatorError} from '../errors/index.js';
import {parseJsonc} from './jsonc.js';
import {type SecretReference, type Settings, settingsSchema} from './schema.js';

/** Reads and validates a settings file, and fills in defaults. */
export function loadSettings(
  file: string,
): Either<readonly OperatorError[], Settings> {
  return readSettingsFile(file).chain(text =>
    parseJsonc(text, file, settingsSchema),
  );
}

/** Reads a file as UTF-8 text without parsing it. */
export function readSettingsFile(
  file: string,
): Either<readonly OperatorError[], string> {
  try {
    return Right(readFileSync(file, 'utf8'));
  } catch (cause) {
    return Left([
      createOperatorError('SettingsUnreadable', {
        file,
        cause: cause instanceof Error ? cause.message : String(cause),
      }),
    ]);
  }
}

/**
 * Reads a secret from the file or environment variable that the settings name.
 *
 * @param key Settings key of the reference, for the error message.
 */
export function readSecret(
  key: string,
  reference: SecretReference,
  environment: Readonly<Record<string, string | undefined>>,
): Either<OperatorError, string> {
  if ('file' in reference) {
    return readSettingsFile(reference.file).mapLeft(problems =>
      createOperatorError(
        'SecretMissing',
        {key, reference: `file ${reference.file}`},
        problems,
      ),
    );
  }
  const value = environment[reference.environmentVariable];
  if (value) {
    return Right(value);
  }
  return Left(
    createOperatorError('SecretMissing', {
      key,
      reference: `environment variable ${reference.environmentVariable}`,
    }),
  );
}
