/** Validates a template independently of the workspaces that use it. */
import {
  type ParameterDefinition,
  type ParameterValue,
  type SteeringTemplate,
  type WorkspaceInstance,
  assertNever,
  workspaceName,
} from '../model/index.js';
import {instantiateTemplate, findValueProblem} from './instantiate_template.js';
import type {ConfigurationProblem} from './types.js';

/**
 * Reports inconsistent parameter definitions, references to undefined
 * parameters, unused parameters, and allowed values that produce an invalid
 * policy.
 */
export function checkTemplate(
  template: SteeringTemplate,
): readonly ConfigurationProblem[] {
  const section = `template/${template.name}`;
  const problems: ConfigurationProblem[] = [];
  for (const [name, definition] of Object.entries(template.parameters)) {
    const problem = definitionProblem(definition);
    if (problem) {
      problems.push({section, path: `parameters.${name}`, problem});
    }
  }
  problems.push(...referenceProblems(template, section));
  if (problems.length > 0) {
    return problems;
  }
  return valueProblems(template, section);
}

function definitionProblem(
  definition: ParameterDefinition,
): string | undefined {
  const isNumber =
    definition.type === 'number' || definition.type === 'integer';
  if (isNumber && definition.minimum > definition.maximum) {
    return `the minimum ${definition.minimum} is over the maximum ${definition.maximum}`;
  }
  const problem = findValueProblem(definition, definition.default);
  return problem && `default: ${problem}`;
}

function referenceProblems(
  template: SteeringTemplate,
  section: string,
): readonly ConfigurationProblem[] {
  const problems: ConfigurationProblem[] = [];
  const used = new Set<string>();
  for (const reference of findParameterReferences(
    template.policies,
    'policies',
  )) {
    used.add(reference.parameter);
    if (!template.parameters[reference.parameter]) {
      problems.push({
        section,
        path: reference.path,
        problem: `there is no parameter ${reference.parameter}`,
      });
    }
  }
  for (const name of Object.keys(template.parameters)) {
    if (!used.has(name)) {
      problems.push({
        section,
        path: `parameters.${name}`,
        problem: 'no policy uses the parameter',
      });
    }
  }
  return problems;
}

/** All `{"parameter": name}` references within a value, with their paths. */
export function findParameterReferences(
  value: unknown,
  path: string,
): readonly {readonly parameter: string; readonly path: string}[] {
  if (typeof value !== 'object' || value === null) {
    return [];
  }
  const entries = Object.entries(value);
  const [first] = entries;
  if (entries.length === 1 && first?.[0] === 'parameter') {
    return [{parameter: String(first[1]), path}];
  }
  return entries.flatMap(([key, child]) =>
    findParameterReferences(child, `${path}.${key}`),
  );
}

/** Tries the defaults, then each boundary value of each parameter in turn. */
function valueProblems(
  template: SteeringTemplate,
  section: string,
): readonly ConfigurationProblem[] {
  const found = problemsWithValues(template, {});
  if (found.length > 0) {
    return found;
  }
  const problems: ConfigurationProblem[] = [];
  for (const [name, definition] of Object.entries(template.parameters)) {
    for (const value of boundaryValues(definition)) {
      const [first] = problemsWithValues(template, {[name]: value});
      if (first) {
        problems.push({
          section,
          path: `parameters.${name}`,
          problem: `allows ${JSON.stringify(value)}, with which ${first.path} is not valid: ${first.problem}`,
        });
      }
    }
  }
  return problems;
}

function problemsWithValues(
  template: SteeringTemplate,
  values: Readonly<Record<string, ParameterValue>>,
): readonly ConfigurationProblem[] {
  const instance: WorkspaceInstance = {
    name: workspaceName('check'),
    template: template.name,
    templateVersion: template.version,
    values,
  };
  return instantiateTemplate(template, instance).caseOf({
    Left: problems => problems,
    Right: () => [],
  });
}

function boundaryValues(
  definition: ParameterDefinition,
): readonly ParameterValue[] {
  switch (definition.type) {
    case 'number':
    case 'integer':
      return [definition.minimum, definition.maximum];
    case 'choice':
      return definition.choices;
    case 'switch':
      return [true, false];
    default:
      return assertNever(definition);
  }
}
