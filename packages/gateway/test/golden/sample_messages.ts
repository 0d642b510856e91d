/** One message of each kind with all of its fields, as this build writes it. */
import type {PeerMessage, VmRecord} from '../../src/peers/messages.js';

const VM: VmRecord = {
  id: 'edge-riga-a-1',
  startedWallMs: 1_760_000_000_000,
  host: '10.1.0.34',
  callerAddress: '10.1.0.34:8548',
  zone: 'riga-a',
  region: 'riga',
};

const TARGET = {
  id: 'i-7f3a91c2',
  service: 'rooms',
  host: '10.1.64.39',
  port: 8049,
  zone: 'riga-a',
  slots: 6,
  draining: false,
  coldRemainingMs: 0,
  startedAtWallMs: 1_760_000_000_000,
  sequence: 7,
};

const OBJECT = {name: 'i-7f3a91c2', version: 12, value: {state: 'ready'}};

export const SAMPLE_MESSAGES: {
  readonly [Kind in PeerMessage['kind']]: Extract<PeerMessage, {kind: Kind}>;
} = {
  hello: {
    kind: 'hello',
    vm: VM,
    known: [VM],
    readsNextWithin: true,
    relayToken: '6f1d',
  },
  heartbeat: {
    kind: 'heartbeat',
    serving: true,
    watchAgeMs: 120,
    demand: [['rooms', 3.5]],
    rateLimits: [{incarnation: 'i-1@1', perSecond: 4, ageMs: 30}],
    copyVersions: {targets: 12, configuration: 3, evacuations: 1},
    targetReach: {cutOff: false, ageMs: 10},
    leavingTargets: [{incarnation: 'i-2@1', ageMs: 40}],
    congestedTargets: [{incarnation: 'i-3@1', load: 9, ageMs: 20}],
    nextWithinMs: 1_200,
    quotaDemand: {whole: false, rates: [['faculty', 2.5]]},
  },
  'want-snapshot': {kind: 'want-snapshot', of: 'targets'},
  'confirm-copies': {kind: 'confirm-copies', askedAtMs: 900},
  'copies-confirmed': {
    kind: 'copies-confirmed',
    askedAtMs: 900,
    copyVersions: {targets: 12},
  },
  snapshot: {
    kind: 'snapshot',
    of: 'targets',
    version: 12,
    objects: [OBJECT],
    settlingMs: 0,
  },
  batch: {
    kind: 'batch',
    of: 'targets',
    from: 11,
    version: 13,
    events: [
      {kind: 'put', object: OBJECT},
      {kind: 'deleted', name: 'i-2', version: 13},
    ],
    settlingMs: 0,
  },
  'restore-memory': {
    kind: 'restore-memory',
    memory: {
      leftMs: 4_000,
      listed: [TARGET],
      departed: [{...TARGET, id: 'i-2'}],
      evacuated: ['riga-b'],
      lifted: ['kurz-a'],
      configuration: {value: {version: 3}, version: 11},
    },
  },
  'target-lost': {
    kind: 'target-lost',
    fingerprint: '8fd01b99ea6a9717',
    target: 'life-12a02c30',
    ageMs: 204,
    spanMs: 43,
    deaths: 2,
  },
  'request-answered': {
    kind: 'request-answered',
    fingerprint: '8fd01b99ea6a9717',
    survived: {runsPerSecond: 3, msPerSecond: 120},
    vm: 'edge-riga-a-1',
  },
};
