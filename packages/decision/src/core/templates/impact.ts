/**
 * Impact of a configuration change: the policies that it changes, and the shift
 * caps, workspace shares, region capacities and deadlines that it violates.
 */
import {
  DRAIN_UTILIZATION_LIMIT,
  type ServiceLoad,
  sumCurrentRequests,
} from '../drains/index.js';
import type {
  Configuration,
  RegionName,
  ServiceName,
  WorkspaceName,
  WorkspaceService,
} from '../model/index.js';
import {type PolicyChange, findPolicyChanges} from './policy_changes.js';

export interface ImpactFinding {
  /** `refused` prevents the change from being accepted. */
  readonly severity: 'refused' | 'warning';
  /** Which limit the configuration violates. */
  readonly limit: 'shift-cap' | 'share' | 'capacity' | 'deadline';
  readonly workspace?: WorkspaceName;
  readonly service: ServiceName;
  readonly region?: RegionName;
  /** Explanation with the figures behind the finding. */
  readonly message: string;
}

export interface ConfigurationImpact {
  readonly changes: readonly PolicyChange[];
  readonly findings: readonly ImpactFinding[];
}

/**
 * Findings that also apply to the configuration before the change are reduced
 * to warnings, so that they do not block unrelated changes.
 *
 * @param before The accepted configuration; undefined for the first one.
 * @param load Current load, from the VMs that reported it.
 */
export function analyzeImpact(
  before: Configuration | undefined,
  after: Configuration,
  load: readonly ServiceLoad[],
): ConfigurationImpact {
  const existing = new Set<string>();
  for (const finding of before ? findViolations(before, load) : []) {
    existing.add(findingKey(finding));
  }
  const findings: ImpactFinding[] = [];
  for (const finding of findViolations(after, load)) {
    const existedBefore = existing.has(findingKey(finding));
    findings.push(existedBefore ? {...finding, severity: 'warning'} : finding);
  }
  return {changes: findPolicyChanges(before, after), findings};
}

/** Identifies a finding across configurations, without its figures. */
function findingKey(finding: ImpactFinding): string {
  const {limit, workspace = '', service, region = ''} = finding;
  return `${limit} ${workspace} ${service} ${region}`;
}

function findViolations(
  configuration: Configuration,
  load: readonly ServiceLoad[],
): readonly ImpactFinding[] {
  const findings: ImpactFinding[] = [];
  for (const services of configuration.workspaces.values()) {
    for (const workspaceService of services.values()) {
      findings.push(...shiftCapFindings(configuration, workspaceService));
      findings.push(...shareFindings(configuration, workspaceService));
      findings.push(...deadlineFindings(workspaceService));
    }
  }
  for (const service of configuration.services.keys()) {
    findings.push(...shareSumFindings(configuration, service));
    findings.push(...capacityFindings(configuration, service, load));
  }
  return findings;
}

/** Total slots of a service in each region with targets. */
export function countSlotsByRegion(
  configuration: Configuration,
  service: ServiceName,
): ReadonlyMap<RegionName, number> {
  const slots = new Map<RegionName, number>();
  for (const target of configuration.services.get(service)?.targets ?? []) {
    slots.set(target.region, (slots.get(target.region) ?? 0) + target.slots);
  }
  return slots;
}

/** One shift step at the cap must fit the free slots of each region. */
function shiftCapFindings(
  configuration: Configuration,
  {workspace, service, policy}: WorkspaceService,
): readonly ImpactFinding[] {
  const findings: ImpactFinding[] = [];
  const slots = countSlotsByRegion(configuration, service);
  const largest = Math.max(0, ...slots.values());
  const shiftedRequests = policy.shift.capFraction * largest;
  for (const [region, regionSlots] of slots) {
    const freeSlots = regionSlots * (1 - DRAIN_UTILIZATION_LIMIT);
    if (slots.size < 2 || shiftedRequests <= freeSlots) {
      continue;
    }
    findings.push({
      severity: 'refused',
      limit: 'shift-cap',
      workspace,
      service,
      region,
      message: `a shift of ${percent(policy.shift.capFraction)} of ${largest} slots moves ${round(shiftedRequests)} requests at once; ${region} keeps ${round(freeSlots)} of its ${regionSlots} slots free at ${percent(DRAIN_UTILIZATION_LIMIT)} use`,
    });
  }
  return findings;
}

/** A share of less than one slot admits no requests. */
function shareFindings(
  configuration: Configuration,
  {workspace, service, policy}: WorkspaceService,
): readonly ImpactFinding[] {
  const findings: ImpactFinding[] = [];
  for (const [region, slots] of countSlotsByRegion(configuration, service)) {
    const share = policy.maximumPoolFraction * slots;
    if (share < 1) {
      findings.push({
        severity: 'refused',
        limit: 'share',
        workspace,
        service,
        region,
        message: `${percent(policy.maximumPoolFraction)} of ${slots} slots in ${region} is less than one request`,
      });
    }
  }
  return findings;
}

function shareSumFindings(
  configuration: Configuration,
  service: ServiceName,
): readonly ImpactFinding[] {
  let sum = 0;
  const sharingWorkspaces: WorkspaceName[] = [];
  for (const [workspace, services] of configuration.workspaces) {
    const policy = services.get(service)?.policy;
    if (policy) {
      sum += policy.maximumPoolFraction;
      sharingWorkspaces.push(workspace);
    }
  }
  if (sharingWorkspaces.length < 2 || sum <= 1) {
    return [];
  }
  return [
    {
      severity: 'warning',
      limit: 'share',
      service,
      message: `the shares of ${sharingWorkspaces.join(', ')} add up to ${percent(sum)}; at full use, higher priorities displace lower ones`,
    },
  ];
}

function capacityFindings(
  configuration: Configuration,
  service: ServiceName,
  load: readonly ServiceLoad[],
): readonly ImpactFinding[] {
  const findings: ImpactFinding[] = [];
  const slots = countSlotsByRegion(configuration, service);
  for (const region of configuration.regions.keys()) {
    const regionSlots = slots.get(region) ?? 0;
    const inUse = sumCurrentRequests(load, service, region);
    if (inUse <= regionSlots * DRAIN_UTILIZATION_LIMIT) {
      continue;
    }
    findings.push({
      severity: 'refused',
      limit: 'capacity',
      service,
      region,
      message: `${inUse} requests are in flight or queued; ${region} would have ${regionSlots} slots, of which at most ${percent(DRAIN_UTILIZATION_LIMIT)} may be in use`,
    });
  }
  if (slots.size === 0) {
    findings.push({
      severity: 'refused',
      limit: 'capacity',
      service,
      message: 'the service would have no target in any region',
    });
  }
  return findings;
}

function deadlineFindings({
  workspace,
  service,
  policy,
}: WorkspaceService): readonly ImpactFinding[] {
  const {defaultDeadlineMs, maximumDeadlineMs, objective} = policy;
  const findings: ImpactFinding[] = [];
  if (defaultDeadlineMs > maximumDeadlineMs) {
    findings.push({
      severity: 'refused',
      limit: 'deadline',
      workspace,
      service,
      message: `the default deadline of ${defaultDeadlineMs} ms exceeds the maximum of ${maximumDeadlineMs} ms`,
    });
  }
  if (objective.latencyThresholdMs > maximumDeadlineMs) {
    findings.push({
      severity: 'refused',
      limit: 'deadline',
      workspace,
      service,
      message: `the latency threshold of ${objective.latencyThresholdMs} ms exceeds the maximum deadline of ${maximumDeadlineMs} ms, so no response could count as late`,
    });
  }
  return findings;
}

function percent(fraction: number): string {
  return `${Number((fraction * 100).toFixed(2))} %`;
}

function round(value: number): number {
  return Number(value.toFixed(2));
}
