/** Validates a configuration document as a whole and indexes it for routing. */
import {type Either, Left, Right} from 'purify-ts';
import {
  type Approval,
  type ClientBlocks,
  type Configuration,
  type ConfigurationDocument,
  type Drain,
  type Generation,
  type RegionName,
  type Service,
  type ServiceName,
  type Shift,
  type SteeringTemplate,
  type Target,
  type TargetId,
  type TemplateName,
  type Topology,
  type VmId,
  type WorkspaceInstance,
  type WorkspaceName,
  type WorkspaceService,
  assertNever,
} from '../model/index.js';
import {instantiateTemplate} from './instantiate_template.js';
import type {ConfigurationProblem} from './types.js';

interface CollectedSections {
  topology?: Topology;
  readonly services: Service[];
  readonly templates: Map<TemplateName, SteeringTemplate>;
  readonly instances: WorkspaceInstance[];
  approvals: readonly Approval[];
  drains: readonly Drain[];
  shifts: readonly Shift[];
  readonly clientBlocks: ClientBlocks[];
}

/**
 * The same validation runs before a configuration is accepted and on every VM
 * that receives it, so that no VM has to reject an accepted configuration.
 *
 * @returns All problems found, or the compiled configuration.
 */
export function compileConfiguration(
  document: ConfigurationDocument,
  generation: Generation,
): Either<readonly ConfigurationProblem[], Configuration> {
  const collected = collectSections(document);
  const {topology} = collected;
  if (!topology) {
    return Left([
      {section: 'topology', path: '', problem: 'the section is missing'},
    ]);
  }
  const problems: ConfigurationProblem[] = [
    ...topologyProblems(topology),
    ...serviceProblems(collected.services, topology),
    ...referenceProblems(collected, topology),
  ];
  const workspaces = compileWorkspaces(collected, problems);
  if (problems.length > 0) {
    return Left(problems);
  }
  return Right({
    generation,
    regions: indexBy(topology.regions, region => region.name),
    links: topology.links,
    entryVms: indexBy(topology.entryVms, vm => vm.id),
    services: indexBy(collected.services, service => service.name),
    targets: indexTargets(collected.services),
    workspaces,
    approvals: collected.approvals,
    drains: collected.drains,
    shifts: collected.shifts,
    clientBlocks: collected.clientBlocks,
  });
}

function collectSections(document: ConfigurationDocument): CollectedSections {
  const collected: CollectedSections = {
    services: [],
    templates: new Map(),
    instances: [],
    approvals: [],
    drains: [],
    shifts: [],
    clientBlocks: [],
  };
  for (const name of [...document.keys()].sort()) {
    const section = document.get(name)!;
    switch (section.kind) {
      case 'topology':
        collected.topology = section.topology;
        break;
      case 'service':
        collected.services.push(section.service);
        break;
      case 'template':
        collected.templates.set(section.template.name, section.template);
        break;
      case 'workspace':
        collected.instances.push(section.workspace);
        break;
      case 'approvals':
        collected.approvals = section.approvals;
        break;
      case 'drains':
        collected.drains = section.drains;
        break;
      case 'shifts':
        collected.shifts = section.shifts;
        break;
      case 'client-blocks':
        collected.clientBlocks.push(section.blocks);
        break;
      default:
        assertNever(section);
    }
  }
  return collected;
}

function compileWorkspaces(
  collected: CollectedSections,
  problems: ConfigurationProblem[],
): ReadonlyMap<WorkspaceName, ReadonlyMap<ServiceName, WorkspaceService>> {
  const workspaces = new Map<
    WorkspaceName,
    ReadonlyMap<ServiceName, WorkspaceService>
  >();
  const knownServices = new Set(
    collected.services.map(service => service.name),
  );
  for (const instance of collected.instances) {
    const section = `workspace/${instance.name}`;
    const template = collected.templates.get(instance.template);
    if (!template || template.version !== instance.templateVersion) {
      const found = template ? `version ${template.version}` : 'nothing';
      problems.push({
        section,
        path: 'template',
        problem: `expected template ${instance.template} version ${instance.templateVersion}, found ${found}`,
      });
      continue;
    }
    const services = new Map<ServiceName, WorkspaceService>();
    instantiateTemplate(template, instance)
      .ifLeft(found => {
        problems.push(...found);
      })
      .ifRight(policies => {
        for (const [service, policy] of policies) {
          if (!knownServices.has(service)) {
            problems.push({
              section: `template/${template.name}`,
              path: `policies.${service}`,
              problem: `there is no service ${service}`,
            });
          }
          services.set(service, {workspace: instance.name, service, policy});
        }
      });
    workspaces.set(instance.name, services);
  }
  return workspaces;
}

function topologyProblems(topology: Topology): ConfigurationProblem[] {
  const problems: ConfigurationProblem[] = [];
  const section = 'topology';
  const zones = zonesByRegion(topology);
  problems.push(
    ...duplicateProblems(
      topology.regions.map(region => region.name),
      section,
      'regions',
    ),
    ...duplicateProblems(
      topology.entryVms.map(vm => vm.id),
      section,
      'entryVms',
    ),
  );
  for (const vm of topology.entryVms) {
    if (!zones.get(vm.region)?.has(vm.zone)) {
      problems.push({
        section,
        path: `entryVms.${vm.id}`,
        problem: `there is no zone ${vm.zone} in region ${vm.region}`,
      });
    }
  }
  for (const link of topology.links) {
    if (!zones.has(link.from) || !zones.has(link.to)) {
      problems.push({
        section,
        path: 'links',
        problem: `link ${link.from} to ${link.to} names an unknown region`,
      });
    }
  }
  return problems;
}

function serviceProblems(
  services: readonly Service[],
  topology: Topology,
): ConfigurationProblem[] {
  const zones = zonesByRegion(topology);
  const problems: ConfigurationProblem[] = [];
  const seen = new Set<TargetId>();
  for (const service of services) {
    const section = `service/${service.name}`;
    for (const target of service.targets) {
      if (seen.has(target.id)) {
        problems.push({
          section,
          path: `targets.${target.id}`,
          problem: `the target ID ${target.id} is used more than once`,
        });
      }
      seen.add(target.id);
      if (!zones.get(target.region)?.has(target.zone)) {
        problems.push({
          section,
          path: `targets.${target.id}`,
          problem: `there is no zone ${target.zone} in region ${target.region}`,
        });
      }
    }
  }
  return problems;
}

function referenceProblems(
  collected: CollectedSections,
  topology: Topology,
): ConfigurationProblem[] {
  const problems: ConfigurationProblem[] = [];
  const regions = new Set(topology.regions.map(region => region.name));
  const workspaces = new Set(
    collected.instances.map(instance => instance.name),
  );
  for (const shift of collected.shifts) {
    if (!regions.has(shift.from) || !regions.has(shift.to)) {
      problems.push({
        section: 'shifts',
        path: shift.id,
        problem: `${shift.from} to ${shift.to} names an unknown region`,
      });
    }
    if (!workspaces.has(shift.workspace)) {
      problems.push({
        section: 'shifts',
        path: shift.id,
        problem: `there is no workspace ${shift.workspace}`,
      });
    }
  }
  for (const blocks of collected.clientBlocks) {
    for (const home of Object.keys(blocks)) {
      if (!regions.has(home as RegionName)) {
        problems.push({
          section: 'client-blocks',
          path: home,
          problem: `there is no region ${home}`,
        });
      }
    }
  }
  return problems;
}

function zonesByRegion(
  topology: Topology,
): ReadonlyMap<RegionName, ReadonlySet<string>> {
  const zones = new Map<RegionName, ReadonlySet<string>>();
  for (const region of topology.regions) {
    zones.set(region.name, new Set<string>(region.zones));
  }
  return zones;
}

function duplicateProblems(
  names: readonly string[],
  section: string,
  path: string,
): ConfigurationProblem[] {
  const seen = new Set<string>();
  const problems: ConfigurationProblem[] = [];
  for (const name of names) {
    if (seen.has(name)) {
      problems.push({
        section,
        path,
        problem: `${name} is listed more than once`,
      });
    }
    seen.add(name);
  }
  return problems;
}

function indexTargets(
  services: readonly Service[],
): ReadonlyMap<TargetId, {service: ServiceName; target: Target}> {
  const targets = new Map<TargetId, {service: ServiceName; target: Target}>();
  for (const service of services) {
    for (const target of service.targets) {
      targets.set(target.id, {service: service.name, target});
    }
  }
  return targets;
}

function indexBy<Key extends RegionName | VmId | ServiceName, Item>(
  items: readonly Item[],
  keyOf: (item: Item) => Key,
): ReadonlyMap<Key, Item> {
  const index = new Map<Key, Item>();
  for (const item of items) {
    index.set(keyOf(item), item);
  }
  return index;
}
