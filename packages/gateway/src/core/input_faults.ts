/** Input that this VM reads no further, by whom it came from and why. */

/** Who has sent it. */
export type InputSource = 'target' | 'peer' | 'caller' | 'store' | 'control';

/**
 * - `interim-answers`: more answers with a status of 1xx than a request has use
 *   for.
 * - `blank-lines`: blank lines in place of a head.
 * - `long-head`: the head, or the trailers, are longer than allowed.
 * - `short-pieces`: the body comes in more pieces than its length explains.
 * - `long-body`: the body is longer than allowed, or than stated.
 * - `malformed`: no HTTP, or a message that cannot be decoded.
 * - `many-requests`: more requests on a connection than may wait for answers.
 * - `unexpected`: nobody waits for it.
 */
export type InputFault =
  | 'interim-answers'
  | 'blank-lines'
  | 'long-head'
  | 'short-pieces'
  | 'long-body'
  | 'malformed'
  | 'many-requests'
  | 'unexpected';
