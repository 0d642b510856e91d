/** Mutation tests: the bounds of the decision bench detect broken mechanisms. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {
  Configuration,
  RegionName,
  Service,
  ServiceName,
  Steering,
  SteeringAction,
  SteeringEvent,
  Target,
} from '@ibisbeam/decision';
import {
  type Figures,
  countViolations,
  measure,
} from '../src/decision/measure.js';
import {type Scenario, runScenario} from '../src/decision/run_scenario.js';
import {SCENARIOS} from '../src/decision/scenarios.js';
import {IBISBEAM} from '../src/decision/strategies/ibisbeam.js';
import type {Strategy} from '../src/decision/types.js';

const SEED = 1;

function scenarioNamed(name: string, changes: Partial<Scenario>): Scenario {
  const scenario = SCENARIOS.find(one => one.name === name);
  assert.ok(scenario);
  return {...scenario, ...changes};
}

function run(scenario: Scenario, strategy: Strategy): Figures {
  return measure(runScenario(scenario, strategy, SEED));
}

/** The steering of the daemon, wrapped to alter its events or actions. */
function mutant(wrap: (steering: Steering) => Steering): Strategy {
  return {
    name: 'mutant',
    boundsApply: true,
    createFactory: () => {
      const create = IBISBEAM.createFactory();
      return context => wrap(create(context));
    },
  };
}

/** Each VM rounds up its share, so the shares add up to more than the slots. */
const sharesRoundedUp = mutant(steering => ({
  ...steering,
  step: (event, time) => steering.step(roundSharesUp(event), time),
}));

function roundSharesUp(event: SteeringEvent): SteeringEvent {
  if (event.kind !== 'configuration-accepted') {
    return event;
  }
  const {configuration} = event;
  const services = new Map<ServiceName, Service>();
  const targets: [Target['id'], {service: ServiceName; target: Target}][] = [];
  for (const [name, service] of configuration.services) {
    const rounded = service.targets.map(target => {
      const vms = vmCount(configuration, target.region);
      return {...target, slots: Math.ceil(target.slots / vms) * vms};
    });
    services.set(name, {...service, targets: rounded});
    for (const target of rounded) {
      targets.push([target.id, {service: name, target}]);
    }
  }
  return {
    ...event,
    configuration: {...configuration, services, targets: new Map(targets)},
  };
}

function vmCount(configuration: Configuration, region: RegionName): number {
  const vms = [...configuration.entryVms.values()];
  return vms.filter(vm => vm.region === region).length;
}

/**
 * Drops the messages that replicate failovers, so that an incarnation of a VM
 * knows only the failovers whose start it observed.
 */
const rampNotReplicated = mutant(steering => ({
  ...steering,
  step: (event, time) => {
    if (
      event.kind === 'peer-message' &&
      isFailoverMessage(event.message.kind)
    ) {
      return [];
    }
    return steering.step(event, time).filter(isNotFailoverSend);
  },
}));

function isNotFailoverSend(action: SteeringAction): boolean {
  return !(
    action.kind === 'send-to-peer' && isFailoverMessage(action.message.kind)
  );
}

function isFailoverMessage(kind: string): boolean {
  return kind === 'failover-known' || kind === 'failovers-wanted';
}

describe('bench bounds', () => {
  const steady = scenarioNamed('steady', {
    durationMs: 6_000,
    measureFromMs: 1_000,
  });

  it('hold for the steering of the daemon at steady load', () => {
    assert.deepEqual(run(steady, IBISBEAM).violations, []);
  });

  it('find overload when shares are rounded up', () => {
    const figures = run(steady, sharesRoundedUp);
    assert.ok(figures.overloadMs > 0);
  });

  it('find a shift that begins again when a ramp is kept in memory', () => {
    const scenario = scenarioNamed('vm-lost-in-shift', {});
    const replicated = run(scenario, IBISBEAM);
    const notReplicated = run(scenario, rampNotReplicated);
    assert.equal(countViolations(replicated, 'shift-progress'), 0);
    assert.ok(countViolations(notReplicated, 'shift-progress') > 0);
  });

  it('give the same figures for the same seed', () => {
    assert.deepEqual(run(steady, IBISBEAM), run(steady, IBISBEAM));
  });
});
