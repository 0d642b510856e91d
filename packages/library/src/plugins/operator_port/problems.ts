/** Problem details of the operator port. */
import type {Context} from 'koa';
import type {OperatorProblem} from '../../core/operator_interface/index.js';

export type OperatorProblemName =
  | 'unauthenticated'
  | 'not-allowed'
  | 'malformed-request'
  | 'not-found'
  | 'method-not-allowed'
  | 'task-silent'
  | 'internal';

const PROBLEM_TYPE_PREFIX = 'https://ibisbeam.example/problems/';

const PROBLEMS: Readonly<
  Record<OperatorProblemName, {status: number; title: string}>
> = {
  // One text for every cause, so that a caller cannot tell which check failed.
  unauthenticated: {
    status: 401,
    title: 'A valid token for the operator port is needed.',
  },
  'not-allowed': {
    status: 403,
    title: 'The principal of this token may not do this.',
  },
  'malformed-request': {status: 400, title: 'The request is not well formed.'},
  'not-found': {status: 404, title: 'There is no such thing here.'},
  'method-not-allowed': {status: 405, title: 'The method is not allowed here.'},
  'task-silent': {
    status: 503,
    title: 'The part of the VM that knows this did not answer.',
  },
  internal: {status: 500, title: 'The VM failed to answer.'},
};

export function buildProblem(
  name: OperatorProblemName,
  detail?: string,
): OperatorProblem {
  return {type: `${PROBLEM_TYPE_PREFIX}${name}`, ...PROBLEMS[name], detail};
}

export function respondWithProblem(
  http: Context,
  name: OperatorProblemName,
  detail?: string,
): void {
  const body = buildProblem(name, detail);
  http.status = body.status;
  http.type = 'application/problem+json';
  http.body = JSON.stringify(body);
}
