/** Header filtering on flat lists of alternating names and values. */

import {HOP_BY_HOP_HEADERS, parseConnectionOptions} from '@ibisbeam/library';

/**
 * Copies the end-to-end headers, except those in `dropped`.
 *
 * @param dropped Names in lower case.
 */
export function endToEndRawHeaders(
  raw: readonly string[],
  dropped: ReadonlySet<string>,
): string[] {
  const connectionListed = parseConnectionOptions(
    headerValues(raw, 'connection').join(','),
  );
  const kept: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] ?? '';
    const lower = name.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(lower) || dropped.has(lower)) {
      continue;
    }
    if (connectionListed?.has(lower)) {
      continue;
    }
    kept.push(name, raw[index + 1] ?? '');
  }
  return kept;
}

/** Characters of a header name (RFC 9110, token). */
const HEADER_NAME_PATTERN = /^[!#$%&'*+\-.^_`|~0-9a-z]+$/i;

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

/**
 * Encodes text for a header value, which holds bytes: letters beyond ASCII are
 * written as UTF-8.
 */
export function encodeHeaderText(text: string): string {
  return Buffer.from(text, 'utf8').toString('latin1');
}

/** Decodes what `encodeHeaderText` has written. */
export function decodeHeaderText(value: string): string {
  return Buffer.from(value, 'latin1').toString('utf8');
}
