/** Seeded random source over pure-rand; equal seeds give equal sequences. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomSource} from '../model/index.js';

const UINT32_RANGE = 2 ** 32;

/** @param seed Any integer; only its low 32 bits are used. */
export function createRandomSource(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed | 0);

  function next(): number {
    return (generator.next() >>> 0) / UINT32_RANGE;
  }

  return {
    next,
    below: bound => Math.floor(next() * bound),
  };
}
