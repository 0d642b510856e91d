/** Converts errors of publishing into operator errors. */
import {type Section, assertNever, findChangedLeaves} from '@ibisbeam/decision';
import {
  type OperatorError,
  type PlatformError,
  type ConfigurationStoreError,
  type SectionConflict,
  createOperatorError,
} from '@ibisbeam/library';
import type {Errors} from './dependencies.js';

const MAX_LISTED_LEAVES = 10;

export function toOperatorErrors(error: ConfigurationStoreError): Errors {
  switch (error.kind) {
    case 'invalid':
      return error.problems.map(problem =>
        createOperatorError('ConfigurationInvalid', {...problem}),
      );
    case 'conflict':
      return conflictErrors(error);
    case 'section-too-large':
      return [createOperatorError('SectionTooLarge', {...error})];
    case 'unavailable':
      return [
        createOperatorError(
          'PlatformUnavailable',
          {
            operation: error.operation,
            cause: describePlatformError(error.cause),
          },
          error.cause,
        ),
      ];
    case 'contention':
      return [
        createOperatorError('ConfigurationContention', {
          attempts: error.attempts,
        }),
      ];
    case 'outcome-unknown':
      return [
        createOperatorError('OutcomeUnknown', {
          operation: 'update of the configuration',
          writeId: error.writeId,
        }),
      ];
    case 'corrupt':
      return [createOperatorError('StoreCorrupt', {...error})];
    default:
      return assertNever(error);
  }
}

/** One error for each section, with both changes and the other authors. */
function conflictErrors(
  error: Extract<ConfigurationStoreError, {kind: 'conflict'}>,
): readonly OperatorError[] {
  const writers = error.writes
    .map(write => `${write.author} in generation ${write.generation}`)
    .join(', ');
  return error.sections.map(conflict =>
    createOperatorError('ConfigurationConflict', {
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

export function describePlatformError(error: PlatformError): string {
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

/** Lists the leaves of a section that one side changed, on one line. */
function describeSide(
  conflict: SectionConflict,
  side: Section | undefined,
): string {
  if (!side) {
    return 'removed the section';
  }
  const leaves = findChangedLeaves(conflict.base, side, '');
  const descriptions = leaves.map(
    ({path, before, after}) =>
      `${path} ${JSON.stringify(before) ?? 'nothing'} -> ${JSON.stringify(after) ?? 'nothing'}`,
  );
  return (
    descriptions.slice(0, MAX_LISTED_LEAVES).join('; ') || 'left it unchanged'
  );
}
