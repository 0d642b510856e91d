/**
 * Breaches that `KNOWN-RED.txt` lists. A line that counts reads
 * `bench SCENARIO SEED BOUND: what was seen`; all else in the file is text.
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

/** Reads the list of the current directory, which is the root of the tree. */
export function readKnownFailures(): readonly KnownFailure[] {
  const path = 'KNOWN-RED.txt';
  return existsSync(path) ? parseKnownFailures(readFileSync(path, 'utf8')) : [];
}

export function findKnownFailure(
  known: readonly KnownFailure[],
  breach: BoundViolation,
): KnownFailure | undefined {
  return known.find(
    one =>
      one.scenario === breach.scenario &&
      one.seed === breach.seed &&
      one.bound === breach.bound,
  );
}

const SLOPE_PATTERN = /^slopes ([a-z-]+):/;

/** Names of series that `slopes NAME: what was seen` lines list. */
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
