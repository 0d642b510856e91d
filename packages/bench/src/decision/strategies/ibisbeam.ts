/** The production strategy: the steering that the entry VM daemon runs. */
import {createSteering} from '@ibisbeam/decision';
import type {Strategy} from '../types.js';

export const IBISBEAM: Strategy = {
  name: 'ibisbeam',
  boundsApply: true,
  createFactory:
    () =>
    ({vm, random, incarnation}) =>
      createSteering({
        vm: vm.id,
        region: vm.region,
        zone: vm.zone,
        random,
        incarnation,
      }),
};
