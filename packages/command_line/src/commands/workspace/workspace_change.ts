/** A workspace's new values, checked against its template's parameters. */
import {
  type ParameterValue,
  type Section,
  type SteeringTemplate,
  type WorkspaceInstance,
  findValueProblem,
} from '@ibisbeam/decision';
import {type StoredConfiguration, operatorError} from '@ibisbeam/library';
import {type Either, Left, Right} from 'purify-ts';
import type {Errors} from '../../core/dependencies.js';
import {
  invalidInput,
  parseAssignment,
  parseParameterValue,
} from '../../core/parse_inputs.js';

export interface WorkspaceAndTemplate {
  readonly section: string;
  readonly workspace: WorkspaceInstance;
  readonly template: SteeringTemplate;
}

export function findWorkspace(
  base: StoredConfiguration,
  name: string,
): Either<Errors, WorkspaceAndTemplate> {
  const section = `workspace/${name}`;
  const found = base.document.get(section);
  if (found?.kind !== 'workspace') {
    const what = `workspace ${name}`;
    return Left([
      operatorError('NotFound', {what, where: 'the configuration'}),
    ]);
  }
  const {workspace} = found;
  const template = base.document.get(`template/${workspace.template}`);
  if (template?.kind !== 'template') {
    const what = `template ${workspace.template}`;
    return Left([
      operatorError('NotFound', {what, where: 'the configuration'}),
    ]);
  }
  return Right({section, workspace, template: template.template});
}

export interface WantedValues {
  /** `name=value` each. */
  readonly assignments: readonly string[];
  /** Parameters that go back to the template's default. */
  readonly unset: readonly string[];
}

/** Tells every problem of the wanted values at once. */
export function changeValues(
  {workspace, template}: WorkspaceAndTemplate,
  wanted: WantedValues,
): Either<Errors, WorkspaceInstance> {
  const values: Record<string, ParameterValue> = {...workspace.values};
  const errors: Errors[] = [];
  const seen = new Set<string>();
  for (const text of wanted.assignments) {
    parseAssignment(text)
      .chain(([name, value]) => readValue(template, seen, name, value))
      .ifLeft(found => {
        errors.push(found);
      })
      .ifRight(([name, value]) => {
        values[name] = value;
      });
  }
  for (const name of wanted.unset) {
    if (!template.parameters[name]) {
      errors.push(unknownParameter(template, name));
    } else if (seen.has(name)) {
      errors.push(invalidInput(name, 'a value or --unset', 'both'));
    }
    delete values[name];
  }
  if (wanted.assignments.length + wanted.unset.length === 0) {
    errors.push(
      invalidInput('values', 'name=value or --unset name', undefined),
    );
  }
  if (errors.length > 0) {
    return Left(errors.flat());
  }
  if (sameValues(values, workspace.values)) {
    const what = `workspace ${workspace.name}`;
    return Left([
      operatorError('AlreadySo', {what, state: 'has these values'}),
    ]);
  }
  return Right({...workspace, values});
}

function readValue(
  template: SteeringTemplate,
  seen: Set<string>,
  name: string,
  text: string,
): Either<Errors, readonly [string, ParameterValue]> {
  const definition = template.parameters[name];
  if (!definition) {
    return Left(unknownParameter(template, name));
  }
  if (seen.has(name)) {
    return Left(invalidInput(name, 'one value', 'two values'));
  }
  seen.add(name);
  return parseParameterValue(name, definition, text).chain(value => {
    const problem = findValueProblem(definition, value);
    if (!problem) {
      return Right<readonly [string, ParameterValue], Errors>([name, value]);
    }
    const expected = problem
      .replace(/^expected /, '')
      .replace(/, found.*$/, '');
    return Left(invalidInput(name, expected, value));
  });
}

function unknownParameter(template: SteeringTemplate, name: string): Errors {
  const known = Object.keys(template.parameters).join(', ') || 'none';
  return invalidInput(
    'values',
    `a parameter of template ${template.name} (${known})`,
    name,
  );
}

function sameValues(
  one: Readonly<Record<string, ParameterValue>>,
  other: Readonly<Record<string, ParameterValue>>,
): boolean {
  const names = new Set([...Object.keys(one), ...Object.keys(other)]);
  return [...names].every(name => one[name] === other[name]);
}

export function workspaceSection(workspace: WorkspaceInstance): Section {
  return {kind: 'workspace', workspace};
}

/** Such as `workspace/a: shiftCap default -> 0.2`. */
export function summarizeValues(
  before: WorkspaceInstance,
  after: WorkspaceInstance,
): string {
  const names = new Set([
    ...Object.keys(before.values),
    ...Object.keys(after.values),
  ]);
  const changes: string[] = [];
  for (const name of names) {
    const [old, now] = [before.values[name], after.values[name]];
    if (old !== now) {
      changes.push(`${name} ${old ?? 'default'} -> ${now ?? 'default'}`);
    }
  }
  return `workspace/${after.name}: ${changes.join(', ')}`;
}
