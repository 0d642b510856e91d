/**
 * Parses JSON with comments and validates it against a schema. Each error names
 * file, line and key, and the expected and the actual value.
 */
import {
  findNodeAtLocation,
  type Node,
  type ParseError,
  parseTree,
  getNodeValue,
  printParseErrorCode,
} from 'jsonc-parser';
import {type Either, Left, Right} from 'purify-ts';
import type {z} from 'zod';
import {type OperatorError, createOperatorError} from '../errors/index.js';

/** @returns All errors in the text, or the validated value. */
export function parseJsonc<Schema extends z.ZodType>(
  text: string,
  file: string,
  schema: Schema,
): Either<readonly OperatorError[], z.output<Schema>> {
  const syntaxErrors: ParseError[] = [];
  const tree = parseTree(text, syntaxErrors, {allowTrailingComma: true});
  if (!tree || syntaxErrors.length > 0) {
    return Left(syntaxErrors.map(error => syntaxProblem(text, file, error)));
  }
  const parsed = schema.safeParse(getNodeValue(tree));
  if (parsed.success) {
    return Right(parsed.data);
  }
  const problems: OperatorError[] = [];
  for (const issue of parsed.error.issues) {
    problems.push(...schemaProblems(text, file, tree, issue));
  }
  return Left(problems);
}

function syntaxProblem(
  text: string,
  file: string,
  error: ParseError,
): OperatorError {
  return createOperatorError('SettingsInvalid', {
    file,
    line: lineAt(text, error.offset),
    key: '(syntax)',
    expected: 'JSON with comments',
    found: printParseErrorCode(error.error),
  });
}

function schemaProblems(
  text: string,
  file: string,
  tree: Node,
  issue: z.core.$ZodIssue,
): readonly OperatorError[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key =>
      problemAt(text, file, tree, [...issue.path, key], {
        expected: 'no such key',
        found: JSON.stringify(key),
      }),
    );
  }
  return [
    problemAt(text, file, tree, issue.path, {
      expected: issue.message.replace(/^Invalid input: expected /, ''),
    }),
  ];
}

function problemAt(
  text: string,
  file: string,
  tree: Node,
  path: readonly PropertyKey[],
  details: {expected: string; found?: string},
): OperatorError {
  const segments = path.map(segment =>
    typeof segment === 'symbol' ? String(segment) : segment,
  );
  const node = findNodeAtLocation(tree, [...segments]);
  const parent = nearestAncestor(tree, segments);
  return createOperatorError('SettingsInvalid', {
    file,
    line: lineAt(text, (node ?? parent).offset),
    key: segments.join('.') || '(whole file)',
    expected: details.expected,
    found: details.found ?? describeNode(node),
  });
}

function nearestAncestor(tree: Node, path: readonly (string | number)[]): Node {
  for (let length = path.length; length > 0; length -= 1) {
    const node = findNodeAtLocation(tree, path.slice(0, length));
    if (node) {
      return node;
    }
  }
  return tree;
}

function describeNode(node: Node | undefined): string {
  if (!node) {
    return 'nothing';
  }
  return JSON.stringify(getNodeValue(node)).slice(0, 80);
}

function lineAt(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}
