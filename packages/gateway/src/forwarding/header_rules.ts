/** Header filtering on flat lists of alternating names and values. */

import {
  HOP_BY_HOP_HEADERS,
  headerValues,
  parseConnectionOptions,
} from '@ibisbeam/library';

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
