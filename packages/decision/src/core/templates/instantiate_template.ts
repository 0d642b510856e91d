/** Instantiates a template with the parameter values of a workspace. */
import {type Either, Left, Right} from 'purify-ts';
import {
  type ParameterDefinition,
  type ParameterValue,
  type ServiceName,
  type ServicePolicy,
  type SteeringTemplate,
  type WorkspaceInstance,
  assertNever,
  servicePolicySchema,
} from '../model/index.js';
import type {ConfigurationProblem} from './types.js';

/** @returns All problems found, or the policy of each service. */
export function instantiateTemplate(
  template: SteeringTemplate,
  instance: WorkspaceInstance,
): Either<
  readonly ConfigurationProblem[],
  ReadonlyMap<ServiceName, ServicePolicy>
> {
  const section = `workspace/${instance.name}`;
  const problems = valueProblems(template, instance, section);
  const policies = new Map<ServiceName, ServicePolicy>();
  for (const [service, policyTemplate] of Object.entries(template.policies)) {
    const filled = replaceParameters(policyTemplate, template, instance);
    const parsed = servicePolicySchema.safeParse(filled);
    if (parsed.success) {
      policies.set(service as ServiceName, parsed.data);
      continue;
    }
    for (const issue of parsed.error.issues) {
      problems.push({
        section: `template/${template.name}`,
        path: ['policies', service, ...issue.path.map(String)].join('.'),
        problem: issue.message,
      });
    }
  }
  return problems.length > 0 ? Left(problems) : Right(policies);
}

function valueProblems(
  template: SteeringTemplate,
  instance: WorkspaceInstance,
  section: string,
): ConfigurationProblem[] {
  const problems: ConfigurationProblem[] = [];
  for (const [name, value] of Object.entries(instance.values)) {
    const definition = template.parameters[name];
    const problem = definition
      ? findValueProblem(definition, value)
      : `template ${template.name} has no such parameter`;
    if (problem) {
      problems.push({section, path: `values.${name}`, problem});
    }
  }
  return problems;
}

/** Describes why the value is invalid; undefined if it is valid. */
export function findValueProblem(
  definition: ParameterDefinition,
  value: ParameterValue,
): string | undefined {
  switch (definition.type) {
    case 'number':
      return numberProblem(definition, value);
    case 'integer':
      if (!Number.isInteger(value)) {
        return `expected an integer in ${definition.unit}, found ${JSON.stringify(value)}`;
      }
      return numberProblem(definition, value);
    case 'choice':
      if (typeof value === 'string' && definition.choices.includes(value)) {
        return undefined;
      }
      return `expected one of ${definition.choices.join(', ')}, found ${JSON.stringify(value)}`;
    case 'switch':
      if (typeof value === 'boolean') {
        return undefined;
      }
      return `expected true or false, found ${JSON.stringify(value)}`;
    default:
      return assertNever(definition);
  }
}

function numberProblem(
  definition: {minimum: number; maximum: number; unit: string},
  value: ParameterValue,
): string | undefined {
  const {minimum, maximum, unit} = definition;
  if (typeof value === 'number' && value >= minimum && value <= maximum) {
    return undefined;
  }
  return `expected ${minimum} to ${maximum} ${unit}, found ${JSON.stringify(value)}`;
}

function replaceParameters(
  node: unknown,
  template: SteeringTemplate,
  instance: WorkspaceInstance,
): unknown {
  if (Array.isArray(node)) {
    return node.map(item => replaceParameters(item, template, instance));
  }
  if (typeof node !== 'object' || node === null) {
    return node;
  }
  const name = parameterReference(node);
  if (name !== undefined) {
    return instance.values[name] ?? template.parameters[name]?.default;
  }
  const replaced: Record<string, unknown> = {};
  for (const [key, value] of Object.entries(node)) {
    replaced[key] = replaceParameters(value, template, instance);
  }
  return replaced;
}

/** Name of the parameter if the node is `{"parameter": "name"}`. */
function parameterReference(node: object): string | undefined {
  const keys = Object.keys(node);
  if (keys.length !== 1 || keys[0] !== 'parameter') {
    return undefined;
  }
  const name = (node as {parameter: unknown}).parameter;
  return typeof name === 'string' ? name : undefined;
}
