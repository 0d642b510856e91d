/** Computes new values of a workspace and checks them against its template. */
import {
  type ParameterValue,
  type Section,
  type SteeringTemplate,
  type WorkspaceInstance,
  findValueProblem,
} from '@ibisbeam/decision';
import {type StoredConfiguration, createOperatorError} from '@ibisbeam/library';
import {type Either, Left, Right} from 'purify-ts';
import type {Errors} from '../../core/dependencies.js';
import {
  invalidInput,
  parseAssignment,
  parseParameterValue,
} from '../../core/parse_inputs.js';

export interface WorkspaceWithTemplate {
  readonly section: string;
  readonly workspace: WorkspaceInstance;
  readonly template: SteeringTemplate;
}

export function findWorkspace(
  base: StoredConfiguration,
  name: string,
): Either<Errors, WorkspaceWithTemplate> {
  const section = `workspace/${name}`;
  const found = base.document.get(section);
  if (found?.kind !== 'workspace') {
    const what = `workspace ${name}`;
    return Left([
      createOperatorError('NotFound', {what, where: 'the configuration'}),
    ]);
  }
  const {workspace} = found;
  const template = base.document.get(`template/${workspace.template}`);
  if (template?.kind !== 'template') {
    const what = `template ${workspace.template}`;
    return Left([
      createOperatorError('NotFound', {what, where: 'the configuration'}),
    ]);
  }
  return Right({section, workspace, template: template.template});
}

export interface RequestedValues {
  /** Each of the form `name=value`. */
  readonly assignments: readonly string[];
  /** Parameters to reset to the template's default. */
  readonly unset: readonly string[];
}

/** Applies the requested values; reports the errors of all of them. */
export function changeValues(
  {workspace, template}: WorkspaceWithTemplate,
  requested: RequestedValues,
): Either<Errors, WorkspaceInstance> {
  const values: Record<string, ParameterValue> = {...workspace.values};
  const errors: Errors[] = [];
  const seen = new Set<string>();
  for (const text of requested.assignments) {
    parseAssignment(text)
      .chain(([name, value]) => readValue(template, seen, name, value))
      .ifLeft(found => {
        errors.push(found);
      })
      .ifRight(([name, value]) => {
        values[name] = value;
      });
  }
  for (const name of requested.unset) {
    if (!template.parameters[name]) {
      errors.push(unknownParameter(template, name));
    } else if (seen.has(name)) {
      errors.push(invalidInput(name, 'a value or --unset', 'both'));
    }
    delete values[name];
  }
  if (requested.assignments.length + requested.unset.length === 0) {
    errors.push(
      invalidInput('values', 'name=value or --unset name', undefined),
    );
  }
  if (errors.length > 0) {
    return Left(errors.flat());
  }
  if (haveSameValues(values, workspace.values)) {
    const what = `workspace ${workspace.name}`;
    return Left([
      createOperatorError('AlreadySo', {what, state: 'has these values'}),
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

function haveSameValues(
  before: Readonly<Record<string, ParameterValue>>,
  after: Readonly<Record<string, ParameterValue>>,
): boolean {
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...names].every(name => before[name] === after[name]);
}

export function workspaceSection(workspace: WorkspaceInstance): Section {
  return {kind: 'workspace', workspace};
}

/** Formats as `workspace/a: shiftCap default -> 0.2`. */
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
    const [previous, current] = [before.values[name], after.values[name]];
    if (previous !== current) {
      changes.push(
        `${name} ${previous ?? 'default'} -> ${current ?? 'default'}`,
      );
    }
  }
  return `workspace/${after.name}: ${changes.join(', ')}`;
}
