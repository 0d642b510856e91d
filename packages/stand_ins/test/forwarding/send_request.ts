/** Problem details (RFC 9457) with the outcome that the entry VM adds. */
export interface ProblemDetails {
  readonly type: string;
  readonly outcome: string;
  readonly status: number;
}

export interface Answer {
  readonly status: number;
  readonly headers: Headers;
  readonly text: string;
  /**
   * Last segment of the problem type; unset unless the body is problem details.
   */
  readonly reason?: string;
  readonly outcome?: string;
}

/** Sends the request with `fetch` and decodes problem details. */
export async function sendRequest(
  url: string,
  init: RequestInit,
): Promise<Answer> {
  const response = await fetch(url, init);
  const text = await response.text();
  const {status, headers} = response;
  if (headers.get('content-type') !== 'application/problem+json') {
    return {status, headers, text};
  }
  const problem = JSON.parse(text) as ProblemDetails;
  const reason = problem.type.slice(problem.type.lastIndexOf('/') + 1);
  return {status, headers, text, reason, outcome: problem.outcome};
}
