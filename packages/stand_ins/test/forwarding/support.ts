/** What the tests of the forwarding path read from answers. */
export interface Problem {
  readonly type: string;
  readonly outcome: string;
  readonly status: number;
}

export interface Answer {
  readonly status: number;
  readonly headers: Headers;
  readonly text: string;
  /** Last part of the problem type, if the answer is a refusal. */
  readonly reason?: string;
  readonly outcome?: string;
}

export async function ask(url: string, init: RequestInit): Promise<Answer> {
  const response = await fetch(url, init);
  const text = await response.text();
  const {status, headers} = response;
  if (headers.get('content-type') !== 'application/problem+json') {
    return {status, headers, text};
  }
  const problem = JSON.parse(text) as Problem;
  const reason = problem.type.slice(problem.type.lastIndexOf('/') + 1);
  return {status, headers, text, reason, outcome: problem.outcome};
}
