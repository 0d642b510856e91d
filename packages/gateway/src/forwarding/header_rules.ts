/** Which headers cross the gateway; lists are flat name, value, name, value. */

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * Copies the headers that may cross, except those in `dropped`.
 *
 * @param dropped Names in lower case.
 */
export function endToEndHeaders(
  raw: readonly string[],
  dropped: ReadonlySet<string>,
): string[] {
  const named = namedByConnection(raw);
  const kept: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] ?? '';
    const lower = name.toLowerCase();
    if (CONNECTION_HEADERS.has(lower) || dropped.has(lower)) {
      continue;
    }
    if (named?.has(lower)) {
      continue;
    }
    kept.push(name, raw[index + 1] ?? '');
  }
  return kept;
}

/** Names that a Connection header lists as its own. */
function namedByConnection(
  raw: readonly string[],
): ReadonlySet<string> | undefined {
  let names: Set<string> | undefined;
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]?.toLowerCase() !== 'connection') {
      continue;
    }
    names ??= new Set();
    for (const name of (raw[index + 1] ?? '').split(',')) {
      names.add(name.trim().toLowerCase());
    }
  }
  return names;
}

/** All values of a header in a flat list. */
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
