/** Parses key sets and private keys. */
import {createOperatorError} from '@ibisbeam/library';
import type {JSONWebKeySet, JWK} from 'jose';
import {type Either, Left, Right} from 'purify-ts';
import * as z from 'zod';
import type {Errors} from './dependencies.js';

const keySchema = z.looseObject({kty: z.string(), kid: z.string().min(1)});
const keySetSchema = z.object({keys: z.array(keySchema).min(1)});
const privateKeySchema = keySchema.extend({d: z.string().min(1)});

export function parseKeySet(text: string): Either<Errors, JSONWebKeySet> {
  return parseKeys(
    'verification keys',
    'a JSON Web Key Set',
    keySetSchema,
  )(text) as Either<Errors, JSONWebKeySet>;
}

export function parsePrivateKey(text: string): Either<Errors, JWK> {
  return parseKeys(
    'signing key',
    'a private JSON Web Key with a key id',
    privateKeySchema,
  )(text) as Either<Errors, JWK>;
}

/** Errors omit the content of the file, which may be a secret. */
function parseKeys(where: string, expected: string, schema: z.ZodType) {
  return (text: string): Either<Errors, unknown> => {
    const details = {where, expected, found: 'something else'};
    try {
      const parsed = schema.safeParse(JSON.parse(text));
      if (parsed.success) {
        return Right(parsed.data);
      }
    } catch {
      // Text that is not JSON gives the same error as an unexpected shape.
    }
    return Left([createOperatorError('InputInvalid', details)]);
  };
}
