/** Reads what an answer of a target says of the target itself. */
import {headerValues} from '@ibisbeam/library';
import type {GatewayProtocol} from '../core/protocol.js';
import type {AnswerStatement} from '../target_availability.js';
import type {AnswerHead} from './target_attempt.js';

const UNAVAILABLE_STATUS = 503;
const FIRST_ERROR_STATUS = 400;

/** @param nowWallMs For a pause that is stated as a date. */
export function readAnswerStatement(
  {headers, readLeaving, readRetryAfter}: GatewayProtocol,
  {status, rawHeaders}: AnswerHead,
  nowWallMs: number,
): AnswerStatement {
  const [retryAfter] = headerValues(rawHeaders, headers.retryAfter);
  return {
    isLeaving: headerValues(rawHeaders, headers.leaving).some(readLeaving),
    pauseMs:
      status === UNAVAILABLE_STATUS && retryAfter !== undefined
        ? readRetryAfter(retryAfter, nowWallMs)
        : undefined,
    isServed: status < FIRST_ERROR_STATUS,
  };
}
