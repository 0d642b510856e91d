/** Requests that the demonstration sends for each of the two users. */
import {type RegionName, regionName} from '@ibisbeam/decision';
import type {DeploymentName} from '../core/deployments/index.js';

export interface DemonstrationScenario {
  readonly name: DeploymentName;
  readonly title: string;
  readonly workspace: string;
  readonly team: string;
  readonly entryVmCount: number;
  readonly workerDivisor: number;
  /** Client address in a block of the home region. */
  readonly clientAddress: string;
  readonly homeRegion: RegionName;
  readonly reads: {readonly service: string; readonly path: string};
  readonly bookings: {
    readonly service: string;
    readonly path: string;
    readonly body: string;
  };
  readonly packs: {readonly service: string; readonly bytes: number};
}

export const daugava: DemonstrationScenario = {
  name: 'daugava',
  title: 'Daugava Scholars Lodging',
  workspace: 'daugava-scholars-lodging',
  team: 'front-desk',
  entryVmCount: 4,
  workerDivisor: 2,
  clientAddress: '64.0.0.7',
  homeRegion: regionName('riga'),
  reads: {service: 'room-availability', path: '/rooms?night=2026-12-04'},
  bookings: {
    service: 'booking-ledger',
    path: '/bookings',
    body: '{"room":"12","deposit":"40.00"}',
  },
  packs: {service: 'welcome-packs', bytes: 2_000_000},
};

export const ceoltoiri: DemonstrationScenario = {
  name: 'ceoltoiri',
  title: 'Ceoltóirí Éadaí Trust',
  workspace: 'ceoltoiri-eadai-trust',
  team: 'fitting-desk',
  entryVmCount: 4,
  workerDivisor: 3,
  clientAddress: '64.0.0.7',
  homeRegion: regionName('leinster'),
  reads: {service: 'measurement-sheets', path: '/sheets/tunics'},
  bookings: {
    service: 'bookings',
    path: '/alterations',
    body: '{"band":"Naas","tunics":14}',
  },
  packs: {service: 'pattern-library', bytes: 3_000_000},
};
