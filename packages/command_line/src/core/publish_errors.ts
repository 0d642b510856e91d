/** Turns the errors of publishing into those that operators see. */
import {type Section, assertNever, findChangedLeaves} from '@ibisbeam/decision';
import {
  type OperatorError,
  type PlatformError,
  type PublishError,
  type SectionConflict,
  operatorError,
} from '@ibisbeam/library';
import type {Errors} from './dependencies.js';

export function publishErrors(error: PublishError): Errors {
  switch (error.kind) {
    case 'invalid':
      return error.problems.map(problem =>
        operatorError('ConfigurationInvalid', {...problem}),
      );
    case 'conflict':
      return conflictErrors(error);
    case 'section-too-large':
      return [operatorError('SectionTooLarge', {...error})];
    case 'unavailable':
      return [
        operatorError(
          'PlatformUnavailable',
          {operation: error.operation, cause: describePlatform(error.cause)},
          error.cause,
        ),
      ];
    case 'contention':
      return [
        operatorError('ConfigurationContention', {attempts: error.attempts}),
      ];
    case 'outcome-unknown':
      return [
        operatorError('OutcomeUnknown', {
          operation: 'update of the configuration',
          writeId: error.writeId,
        }),
      ];
    case 'corrupt':
      return [operatorError('StoreCorrupt', {...error})];
    default:
      return assertNever(error);
  }
}

/** Each section with what they did, who they are, and what was wanted. */
function conflictErrors(
  error: Extract<PublishError, {kind: 'conflict'}>,
): readonly OperatorError[] {
  const writers = error.writes
    .map(write => `${write.author} in generation ${write.generation}`)
    .join(', ');
  return error.sections.map(conflict =>
    operatorError('ConfigurationConflict', {
      section: conflict.section,
      theirs: `(${writers || 'unknown'}): ${describeSide(conflict, conflict.theirs)}`,
      ours: describeSide(conflict, conflict.ours),
      generation: error.generation,
      sides: {
        base: conflict.base,
        theirs: conflict.theirs,
        ours: conflict.ours,
      },
      writes: error.writes,
    }),
  );
}

export function describePlatform(error: PlatformError): string {
  switch (error.kind) {
    case 'unavailable':
    case 'lost-answer':
    case 'rejected':
      return `${error.kind}: ${error.cause}`;
    case 'conflict':
    case 'not-found':
    case 'watch-gap':
      return error.kind;
    default:
      return assertNever(error);
  }
}

/** Leaves of a section that a side changed, as one line. */
function describeSide(
  conflict: SectionConflict,
  side: Section | undefined,
): string {
  if (!side) {
    return 'removed the section';
  }
  const leaves = findChangedLeaves(conflict.base, side, '');
  const told = leaves.map(
    ({path, before, after}) =>
      `${path} ${JSON.stringify(before) ?? 'nothing'} -> ${JSON.stringify(after) ?? 'nothing'}`,
  );
  return told.slice(0, 10).join('; ') || 'left it as it was';
}
