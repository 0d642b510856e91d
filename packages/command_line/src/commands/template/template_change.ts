/** Computes the sections that a new template version changes. */
import {
  type Section,
  type SectionName,
  type SteeringTemplate,
  checkTemplate,
} from '@ibisbeam/decision';
import {
  type SectionChanges,
  type StoredConfiguration,
  createOperatorError,
} from '@ibisbeam/library';
import {type Either, Left, Right} from 'purify-ts';
import type {Errors} from '../../core/dependencies.js';

/**
 * Moves the template and every workspace that uses it to the new version in one
 * change, so that no workspace refers to a version that no longer exists.
 */
export function buildTemplateChanges(
  base: StoredConfiguration,
  template: SteeringTemplate,
): Either<Errors, SectionChanges> {
  const problems = checkTemplate(template);
  if (problems.length > 0) {
    const errors = problems.map(problem =>
      createOperatorError('ConfigurationInvalid', {...problem}),
    );
    return Left(errors);
  }
  const name = `template/${template.name}`;
  const current = base.document.get(name);
  const version = current?.kind === 'template' ? current.template.version : 0;
  if (current && JSON.stringify(current) === serializeTemplate(template)) {
    return Left([
      createOperatorError('AlreadySo', {
        what: name,
        state: `version ${version} with the same content is in force`,
      }),
    ]);
  }
  if (template.version !== version + 1) {
    return Left([
      createOperatorError('InputInvalid', {
        where: `${name}: version`,
        expected: String(version + 1),
        found: String(template.version),
      }),
    ]);
  }
  const changes = new Map<SectionName, Section>();
  changes.set(name, {kind: 'template', template});
  for (const [section, value] of base.document) {
    if (
      value.kind === 'workspace' &&
      value.workspace.template === template.name
    ) {
      const workspace = {
        ...value.workspace,
        templateVersion: template.version,
      };
      changes.set(section, {kind: 'workspace', workspace});
    }
  }
  return Right(changes);
}

function serializeTemplate(template: SteeringTemplate): string {
  return JSON.stringify({kind: 'template', template});
}
