/**
 * Judges the head of an answer before anything of it is used. What the HTTP
 * parser accepts is more than what may be passed on: its writer throws for some
 * of it, and other heads change the meaning of the body.
 */

/** The part of a node:http response that is judged. */
export interface AnswerHeadParts {
  readonly statusCode?: number | undefined;
  /** Flat list of names and values. */
  readonly rawHeaders: readonly string[];
}

/** How an answer names the request that it belongs to. */
export interface RequestNaming {
  /** Name of the header, in lower case. */
  readonly header: string;
  /** Undefined if the request has no identifier. */
  readonly identifier: string | undefined;
  /** Whether an answer without the header belongs to no request. */
  readonly isRequired: boolean;
}

/**
 * - `interim-status`: a status of 1xx in place of a final one.
 * - `impossible-status`: outside of 100 to 599.
 * - `malformed-name`: a header name that cannot be written again.
 * - `unknown-framing`: a transfer coding other than `chunked` alone.
 * - `foreign`: the answer belongs to another request, or names none.
 */
export type AnswerHeadFault =
  | 'interim-status'
  | 'impossible-status'
  | 'malformed-name'
  | 'unknown-framing'
  | 'foreign';

export interface AnswerHeadProblem {
  readonly fault: AnswerHeadFault;
  readonly cause: string;
}

/** The HTTP parser accepts any three digits. */
const FIRST_INTERIM_STATUS = 100;
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;
/** Characters of a header name (RFC 9110, token). */
const HEADER_NAME_PATTERN = /^[!#$%&'*+\-.^_`|~0-9a-z]+$/i;
/** Value of `maxHeadersCount` for no limit but that on the bytes of a head. */
const ALL_HEADER_LINES = 0;

/**
 * Lets a server or a request read heads whole. By default, Node.js drops the
 * header lines behind the first 1,000 without an error.
 */
export function readAllHeaderLines<
  Reader extends {maxHeadersCount: number | null},
>(reader: Reader): Reader {
  reader.maxHeadersCount = ALL_HEADER_LINES;
  return reader;
}

/** Undefined if the answer may be passed on. */
export function findAnswerHeadProblem(
  {statusCode = 0, rawHeaders}: AnswerHeadParts,
  naming: RequestNaming,
): AnswerHeadProblem | undefined {
  if (!hasValidHeaderNames(rawHeaders)) {
    const cause = 'the answer has a malformed header name';
    return {fault: 'malformed-name', cause};
  }
  if (statusCode < FIRST_FINAL_STATUS || statusCode > LAST_STATUS) {
    const isInterim =
      statusCode >= FIRST_INTERIM_STATUS && statusCode <= LAST_STATUS;
    return {
      fault: isInterim ? 'interim-status' : 'impossible-status',
      cause: `the answer has the status ${statusCode}`,
    };
  }
  const codings = headerValues(rawHeaders, 'transfer-encoding');
  if (codings.length > 0 && !isChunked(codings)) {
    const cause = `the answer has the transfer coding ${codings.join(', ')}`;
    return {fault: 'unknown-framing', cause};
  }
  const named = headerValues(rawHeaders, naming.header);
  if (named.some(identifier => identifier !== naming.identifier)) {
    return {fault: 'foreign', cause: 'the answer belongs to another request'};
  }
  if (naming.isRequired && named.length === 0) {
    const cause = `the answer with status ${statusCode} names no request`;
    return {fault: 'foreign', cause};
  }
  return undefined;
}

/**
 * Whether all names of a flat list may be written again. Some versions of the
 * HTTP parser accept names that its writer throws for.
 */
export function hasValidHeaderNames(raw: readonly string[]): boolean {
  for (let index = 0; index < raw.length; index += 2) {
    if (!HEADER_NAME_PATTERN.test(raw[index] ?? '')) {
      return false;
    }
  }
  return true;
}

/** Returns all values of a header in a flat list. */
export function headerValues(
  raw: readonly string[],
  lowerName: string,
): readonly string[] {
  const values: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]?.toLowerCase() === lowerName) {
      values.push(raw[index + 1] ?? '');
    }
  }
  return values;
}

function isChunked(codings: readonly string[]): boolean {
  return codings.length === 1 && codings[0]?.trim().toLowerCase() === 'chunked';
}
