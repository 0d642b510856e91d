/**
 * Breaches that `KNOWN-RED.txt` lists. A line that counts reads
 * `bench SCENARIO SEED BOUND: what was seen`; all else in the file is text.
 */
import {existsSync, readFileSync} from 'node:fs';
import type {Breach} from './verdict.js';

export interface KnownRed {
  readonly scenario: string;
  readonly seed: number;
  readonly bound: string;
}

const LINE_PATTERN = /^bench (\S+) (-?\d+) ([a-z-]+):/;

export function parseKnownRed(text: string): readonly KnownRed[] {
  const known: KnownRed[] = [];
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
export function readKnownRed(): readonly KnownRed[] {
  const path = 'KNOWN-RED.txt';
  return existsSync(path) ? parseKnownRed(readFileSync(path, 'utf8')) : [];
}

export function findKnownRed(
  known: readonly KnownRed[],
  breach: Breach,
): KnownRed | undefined {
  return known.find(
    one =>
      one.scenario === breach.scenario &&
      one.seed === breach.seed &&
      one.bound === breach.bound,
  );
}

const SLOPE_PATTERN = /^slopes ([a-z-]+):/;

/** Names of series that `slopes NAME: what was seen` lines list. */
export function parseKnownSlopes(text: string): readonly string[] {
  const names: string[] = [];
  for (const line of text.split('\n')) {
    const match = SLOPE_PATTERN.exec(line);
    if (match) {
      names.push(match[1]!);
    }
  }
  return names;
}

export function readKnownSlopes(): readonly string[] {
  const path = 'KNOWN-RED.txt';
  return existsSync(path) ? parseKnownSlopes(readFileSync(path, 'utf8')) : [];
}

export function findKnownSlope(
  known: readonly string[],
  name: string,
): boolean {
  return known.includes(name);
}
