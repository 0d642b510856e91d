import {createOperatorError, parseJsonc} from '@ibisbeam/library';
import type {Either} from 'purify-ts';
import type {z} from 'zod';
import type {Errors} from './dependencies.js';

/**
 * Parses JSON with comments. Errors are reported as `FileInvalid`, because the
 * file does not hold a VM's settings.
 */
export function parseFile<Schema extends z.ZodType>(
  text: string,
  file: string,
  schema: Schema,
): Either<Errors, z.output<Schema>> {
  return parseJsonc(text, file, schema).mapLeft(errors =>
    errors.map(({details}) => createOperatorError('FileInvalid', details)),
  );
}
