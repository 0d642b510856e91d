/** Reads the keys that the settings refer to. */
import {
  type OperatorError,
  type Settings,
  createOperatorError,
  readSecret,
} from '@ibisbeam/library';
import type {JSONWebKeySet, JWK} from 'jose';
import {type Either, Left, Right} from 'purify-ts';
import * as z from 'zod';

export interface VmKeys {
  /** Public keys that verify the tokens of callers, operators and VMs. */
  readonly verification: JSONWebKeySet;
  /** Private key with which this VM signs its own tokens. */
  readonly signing: JWK;
}

const keySchema = z.looseObject({kty: z.string(), kid: z.string().min(1)});
const keySetSchema = z.object({keys: z.array(keySchema).min(1)});
const privateKeySchema = keySchema.extend({d: z.string().min(1)});

export function readVmKeys(
  settings: Settings,
  environment: Readonly<Record<string, string | undefined>>,
): Either<OperatorError, VmKeys> {
  const {tokenVerification, vmSigning} = settings.keys;
  return readSecret('keys.tokenVerification', tokenVerification, environment)
    .chain(text =>
      parse('keys.tokenVerification', 'a JSON Web Key Set', text, keySetSchema),
    )
    .chain(verification =>
      readSecret('keys.vmSigning', vmSigning, environment)
        .chain(text =>
          parse(
            'keys.vmSigning',
            'a private JSON Web Key with a key id',
            text,
            privateKeySchema,
          ),
        )
        .map(signing => ({
          verification: verification as JSONWebKeySet,
          signing: signing as JWK,
        })),
    );
}

/** Errors do not show the value, because it may be a secret. */
function parse<Schema extends z.ZodType>(
  where: string,
  expected: string,
  text: string,
  schema: Schema,
): Either<OperatorError, z.output<Schema>> {
  const problem = createOperatorError('InputInvalid', {
    where,
    expected,
    found: 'something else',
  });
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return Left(problem);
  }
  const parsed = schema.safeParse(value);
  return parsed.success ? Right(parsed.data) : Left(problem);
}
