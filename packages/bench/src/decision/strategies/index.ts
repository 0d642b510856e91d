import type {Strategy} from '../types.js';
import {BASELINES} from './baselines.js';
import {IBISBEAM} from './ibisbeam.js';
import {createOracle} from './oracle.js';

export const STRATEGIES: readonly Strategy[] = [
  IBISBEAM,
  ...BASELINES,
  createOracle(),
];
