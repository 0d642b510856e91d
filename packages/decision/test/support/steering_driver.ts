/** Drives the steering of one VM on a manual clock. */
import {
  type AttemptResult,
  type Configuration,
  type MembershipView,
  type RegionName,
  type RequestMetadata,
  type Steering,
  type SteeringAction,
  type SteeringEvent,
  type SteeringParameters,
  type VmId,
  type VmState,
  createRandomSource,
  createSteering,
  generation,
  incarnation,
  requestId,
  teamName,
  zoneName,
} from '../../src/index.js';
import {RIGA, SERVICE, WORKSPACE, vmName} from './configuration_fixture.js';

export interface DriverOptions {
  readonly vm?: VmId;
  readonly region?: RegionName;
  readonly seed?: number;
  readonly incarnation?: string;
  readonly parameters?: Partial<SteeringParameters>;
}

type ActionOf<Kind extends SteeringAction['kind']> = Extract<
  SteeringAction,
  {readonly kind: Kind}
>;

export interface SteeringDriver {
  readonly steering: Steering;
  nowMs: number;
  wallMs: number;
  step(event: SteeringEvent): readonly SteeringAction[];
  advance(milliseconds: number): readonly SteeringAction[];
  /** Sends a request with a new identifier; returns the immediate actions. */
  request(facts?: Partial<RequestMetadata>): readonly SteeringAction[];
  finishAttempt(
    send: ActionOf<'send-attempt'>,
    result: AttemptResult,
  ): readonly SteeringAction[];
}

export function createSteeringDriver(
  options: DriverOptions = {},
): SteeringDriver {
  const steering = createSteering({
    vm: options.vm ?? vmName(0, 0),
    region: options.region ?? RIGA,
    zone: zoneName('a'),
    random: createRandomSource(options.seed ?? 1),
    incarnation: options.incarnation,
    parameters: options.parameters,
  });
  let requestCount = 0;

  const driver: SteeringDriver = {
    steering,
    nowMs: 1_000,
    wallMs: 1_000_000,
    step: event =>
      steering.step(event, {nowMs: driver.nowMs, wallMs: driver.wallMs}),
    advance: milliseconds => {
      driver.nowMs += milliseconds;
      driver.wallMs += milliseconds;
      return driver.step({kind: 'tick'});
    },
    request: (facts = {}) => {
      requestCount += 1;
      return driver.step({
        kind: 'request-arrived',
        request: {
          id: requestId(`request-${requestCount}`),
          workspace: WORKSPACE,
          service: SERVICE,
          callingTeam: teamName('portal'),
          idempotent: true,
          fingerprint: `fingerprint-${requestCount}`,
          homeRegion: options.region ?? RIGA,
          cohort: 0,
          deadlineMs: driver.nowMs + 2_000,
          ...facts,
        },
      });
    },
    finishAttempt: (send, result) => {
      const {request, attempt} = send;
      if (result.kind !== 'not-sent') {
        driver.step({kind: 'attempt-sent', request, attempt});
      }
      return driver.step({kind: 'attempt-finished', request, attempt, result});
    },
  };
  return driver;
}

export function actionsOfKind<Kind extends SteeringAction['kind']>(
  actions: readonly SteeringAction[],
  kind: Kind,
): readonly ActionOf<Kind>[] {
  return actions.filter(action => action.kind === kind) as never;
}

/** Builds a view in which all VMs are live, except as given in `changes`. */
export function buildMembershipView(
  configuration: Configuration,
  changes: {
    readonly silent?: readonly RegionName[];
    readonly states?: ReadonlyMap<VmId, VmState>;
    readonly generations?: ReadonlyMap<VmId, number>;
    readonly incarnations?: ReadonlyMap<VmId, string>;
    readonly selfDoubt?: boolean;
  } = {},
): MembershipView {
  const vms = [...configuration.entryVms.values()].map(
    vm =>
      [
        vm.id,
        {
          vm: vm.id,
          region: vm.region,
          zone: vm.zone,
          state: changes.states?.get(vm.id) ?? ('live' as VmState),
          generation: generation(
            changes.generations?.get(vm.id) ?? configuration.generation,
          ),
          incarnation: incarnation(changes.incarnations?.get(vm.id) ?? 'first'),
        },
      ] as const,
  );
  return {
    atMs: 0,
    vms: new Map(vms),
    silentRegions: new Set(changes.silent ?? []),
    selfDoubt: changes.selfDoubt ?? false,
  };
}
