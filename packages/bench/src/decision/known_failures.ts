/**
 * Parses the known failures listed in `KNOWN-RED.txt`. Entries of the decision
 * bench have the form `bench SCENARIO SEED BOUND: what was seen`, those of the
 * slope measurements `slopes NAME: what was seen`. Other lines are ignored.
 */
import {existsSync, readFileSync} from 'node:fs';
import type {BoundViolation} from './bounds_and_goals.js';

export interface KnownFailure {
  readonly scenario: string;
  readonly seed: number;
  readonly bound: string;
}

const LINE_PATTERN = /^bench (\S+) (-?\d+) ([a-z-]+):/;

export function parseKnownFailures(text: string): readonly KnownFailure[] {
  const known: KnownFailure[] = [];
  for (const line of text.split('\n')) {
    const match = LINE_PATTERN.exec(line);
    if (match) {
      const [, scenario, seed, bound] = match;
      known.push({scenario: scenario!, seed: Number(seed), bound: bound!});
    }
  }
  return known;
}

/**
 * Reads `KNOWN-RED.txt` from the current directory, which must be the root of
 * the repository. A missing file means no known failures.
 */
export function readKnownFailures(): readonly KnownFailure[] {
  const path = 'KNOWN-RED.txt';
  return existsSync(path) ? parseKnownFailures(readFileSync(path, 'utf8')) : [];
}

export function findKnownFailure(
  known: readonly KnownFailure[],
  violation: BoundViolation,
): KnownFailure | undefined {
  return known.find(
    one =>
      one.scenario === violation.scenario &&
      one.seed === violation.seed &&
      one.bound === violation.bound,
  );
}

const SLOPE_PATTERN = /^slopes ([a-z-]+):/;

/** Returns the names of the listed series of the slope measurements. */
export function parseKnownSlopeFailures(text: string): readonly string[] {
  const names: string[] = [];
  for (const line of text.split('\n')) {
    const match = SLOPE_PATTERN.exec(line);
    if (match) {
      names.push(match[1]!);
    }
  }
  return names;
}

export function readKnownSlopeFailures(): readonly string[] {
  const path = 'KNOWN-RED.txt';
  return existsSync(path)
    ? parseKnownSlopeFailures(readFileSync(path, 'utf8'))
    : [];
}

export function isKnownSlopeFailure(
  known: readonly string[],
  name: string,
): boolean {
  return known.includes(name);
}
