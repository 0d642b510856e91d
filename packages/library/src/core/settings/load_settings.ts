import {readFileSync} from 'node:fs';
import {type Either, Left, Right} from 'purify-ts';
import {type OperatorError, operatorError} from '../errors/index.js';
import {parseJsonc} from './jsonc.js';
import {type SecretReference, type Settings, settingsSchema} from './schema.js';

/** Reads and checks a settings file; defaults are filled in. */
export function loadSettings(
  file: string,
): Either<readonly OperatorError[], Settings> {
  return readSettingsFile(file).chain(text =>
    parseJsonc(text, file, settingsSchema),
  );
}

/** The text of a settings file, whatever its format. */
export function readSettingsFile(
  file: string,
): Either<readonly OperatorError[], string> {
  try {
    return Right(readFileSync(file, 'utf8'));
  } catch (cause) {
    return Left([
      operatorError('SettingsUnreadable', {
        file,
        cause: cause instanceof Error ? cause.message : String(cause),
      }),
    ]);
  }
}

/** Reads a secret from where the settings say that it is. */
export function readSecret(
  key: string,
  reference: SecretReference,
  environment: Readonly<Record<string, string | undefined>>,
): Either<OperatorError, string> {
  if ('file' in reference) {
    return readSettingsFile(reference.file).mapLeft(problems =>
      operatorError(
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
    operatorError('SecretMissing', {
      key,
      reference: `environment variable ${reference.environmentVariable}`,
    }),
  );
}
