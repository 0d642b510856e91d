/** Parses durations, instants, assignments and names of the command line. */
import {
  type ParameterDefinition,
  type ParameterValue,
  assertNever,
} from '@ibisbeam/decision';
import {createOperatorError} from '@ibisbeam/library';
import {type Either, Left, Right} from 'purify-ts';
import type {z} from 'zod';
import type {Errors} from './dependencies.js';

const DURATION_PATTERN = /^(\d+(?:\.\d+)?)(ms|s|m|h|d)$/;
const RELATIVE_PATTERN = /^now(?:([+-])(\S+))?$/;
const INSTANT_PATTERN =
  /^\d{4}-\d{2}-\d{2}T\d{2}:\d{2}(:\d{2}(\.\d+)?)?(Z|[+-]\d{2}:\d{2})$/;

const UNIT_MS: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000,
};

export function invalidInput(
  where: string,
  expected: string,
  found: unknown,
): Errors {
  return [
    createOperatorError('InputInvalid', {
      where,
      expected,
      found: found === undefined ? 'nothing' : JSON.stringify(found),
    }),
  ];
}

/** Converts `90s`, `10m`, `2h`, `1d` or `250ms` to milliseconds. */
export function parseDuration(
  where: string,
  text: string,
): Either<Errors, number> {
  const match = DURATION_PATTERN.exec(text);
  if (!match) {
    const expected = 'a duration such as 90s, 10m, 2h or 1d';
    return Left(invalidInput(where, expected, text));
  }
  return Right(Math.round(Number(match[1]) * UNIT_MS[match[2]!]!));
}

/**
 * Converts `now`, `now+10m`, `now-1h` or an ISO 8601 instant with an offset to
 * milliseconds since the epoch.
 */
export function parseInstant(
  where: string,
  text: string,
  nowMs: number,
): Either<Errors, number> {
  const relative = RELATIVE_PATTERN.exec(text);
  if (relative) {
    if (!relative[2]) {
      return Right(nowMs);
    }
    const sign = relative[1] === '-' ? -1 : 1;
    return parseDuration(where, relative[2]).map(
      spanMs => nowMs + sign * spanMs,
    );
  }
  const instant = INSTANT_PATTERN.test(text) ? Date.parse(text) : Number.NaN;
  if (Number.isNaN(instant)) {
    const expected = 'now, now+10m or an instant such as 2026-12-03T22:00:00Z';
    return Left(invalidInput(where, expected, text));
  }
  return Right(instant);
}

/** Splits `name=value`. */
export function parseAssignment(
  text: string,
): Either<Errors, readonly [string, string]> {
  const separator = text.indexOf('=');
  if (separator < 1) {
    return Left(invalidInput('values', 'name=value', text));
  }
  return Right([text.slice(0, separator), text.slice(separator + 1)]);
}

/** Parses a value by the type of its parameter; does not check its bounds. */
export function parseParameterValue(
  name: string,
  definition: ParameterDefinition,
  text: string,
): Either<Errors, ParameterValue> {
  switch (definition.type) {
    case 'number':
    case 'integer': {
      const value = text.trim() === '' ? Number.NaN : Number(text);
      if (!Number.isFinite(value)) {
        const {minimum, maximum, unit} = definition;
        const expected = `${minimum} to ${maximum} ${unit}`;
        return Left(invalidInput(name, expected, text));
      }
      return Right(value);
    }
    case 'switch':
      if (text !== 'true' && text !== 'false') {
        return Left(invalidInput(name, 'true or false', text));
      }
      return Right(text === 'true');
    case 'choice':
      return Right(text);
    default:
      return assertNever(definition);
  }
}

/** Parses a name with a schema of the configuration model. */
export function parseName<Schema extends z.ZodType>(
  where: string,
  schema: Schema,
  text: unknown,
): Either<Errors, z.output<Schema>> {
  const parsed = schema.safeParse(text);
  if (parsed.success) {
    return Right(parsed.data);
  }
  const expected = (parsed.error.issues[0]?.message ?? 'a valid name').replace(
    /^(Invalid input: )?expected /,
    '',
  );
  return Left(invalidInput(where, expected, text));
}
