/** Matching, validation and description of drain scopes. */
import {
  type Configuration,
  type DrainScope,
  type ServiceName,
  type Target,
  assertNever,
} from '../model/index.js';

/** Whether a drain of this scope takes the target out of use. */
export function scopeCoversTarget(
  scope: DrainScope,
  service: ServiceName,
  target: Target,
): boolean {
  switch (scope.kind) {
    case 'target':
      return scope.target === target.id;
    case 'service-zone':
      return (
        scope.service === service &&
        scope.region === target.region &&
        scope.zone === target.zone
      );
    case 'zone':
      return scope.region === target.region && scope.zone === target.zone;
    case 'region':
      return scope.region === target.region;
    case 'entry-vm':
      return false;
    default:
      return assertNever(scope);
  }
}

/**
 * Describes a name in the scope that the configuration does not define;
 * undefined if all are defined.
 */
export function findScopeProblem(
  scope: DrainScope,
  configuration: Configuration,
): string | undefined {
  switch (scope.kind) {
    case 'target':
      return configuration.targets.has(scope.target)
        ? undefined
        : `there is no target ${scope.target}`;
    case 'service-zone':
      return configuration.services.has(scope.service)
        ? zoneProblem(scope, configuration)
        : `there is no service ${scope.service}`;
    case 'zone':
      return zoneProblem(scope, configuration);
    case 'region':
      return configuration.regions.has(scope.region)
        ? undefined
        : `there is no region ${scope.region}`;
    case 'entry-vm':
      return configuration.entryVms.has(scope.vm)
        ? undefined
        : `there is no entry VM ${scope.vm}`;
    default:
      return assertNever(scope);
  }
}

function zoneProblem(
  scope: Extract<DrainScope, {kind: 'zone' | 'service-zone'}>,
  configuration: Configuration,
): string | undefined {
  const region = configuration.regions.get(scope.region);
  if (!region) {
    return `there is no region ${scope.region}`;
  }
  if (!region.zones.includes(scope.zone)) {
    return `there is no zone ${scope.zone} in region ${scope.region}`;
  }
  return undefined;
}

/** One line for display, such as `zone riga/a`. */
export function describeScope(scope: DrainScope): string {
  switch (scope.kind) {
    case 'target':
      return `target ${scope.target}`;
    case 'service-zone':
      return `service ${scope.service} in zone ${scope.region}/${scope.zone}`;
    case 'zone':
      return `zone ${scope.region}/${scope.zone}`;
    case 'region':
      return `region ${scope.region}`;
    case 'entry-vm':
      return `entry VM ${scope.vm}`;
    default:
      return assertNever(scope);
  }
}
