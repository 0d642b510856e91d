/**
 * Reads which invariants of the soak are listed in `KNOWN-RED.txt`, as lines
 * `soak any "INVARIANT": what was seen`. Their violations are printed and do not
 * fail a run.
 */
import {readFileSync} from 'node:fs';

const ENTRY_PATTERN = /^soak any "([^"]+)": /;

/** @param path Of the list; its absence is an error. */
export function readKnownInvariants(path: string): ReadonlySet<string> {
  return parseKnownInvariants(readFileSync(path, 'utf8'));
}

export function parseKnownInvariants(text: string): ReadonlySet<string> {
  const invariants = new Set<string>();
  for (const line of text.split('\n')) {
    const [, invariant] = ENTRY_PATTERN.exec(line) ?? [];
    if (invariant !== undefined) {
      invariants.add(invariant);
    }
  }
  return invariants;
}
