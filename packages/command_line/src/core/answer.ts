/** What a command gives back: the same facts as text and as data. */
import type {OperatorError} from '@ibisbeam/library';
import type {ExitStatus} from './exit_status.js';

export interface CommandAnswer {
  readonly text: string;
  readonly data: unknown;
  /** Warnings go to the error stream in text output. */
  readonly warnings?: readonly string[];
}

export type OutputForm = 'text' | 'json';

export function renderAnswer(
  answer: CommandAnswer,
  form: OutputForm,
): {readonly output: string; readonly errors: string} {
  const warnings = answer.warnings ?? [];
  if (form === 'json') {
    const body = {ok: true, data: answer.data, warnings};
    return {output: `${JSON.stringify(body, null, 2)}\n`, errors: ''};
  }
  const errors = warnings.map(warning => `warning: ${warning}\n`).join('');
  const output = answer.text.endsWith('\n') ? answer.text : `${answer.text}\n`;
  return {output, errors};
}

export function renderErrors(
  errors: readonly OperatorError[],
  status: ExitStatus,
  form: OutputForm,
): {readonly output: string; readonly errors: string} {
  if (form === 'json') {
    const told = errors.map(({name, title, message, hint, details}) => ({
      name,
      title,
      message,
      hint,
      details,
    }));
    const body = {ok: false, status, errors: told};
    return {output: `${JSON.stringify(body, null, 2)}\n`, errors: ''};
  }
  let text = '';
  let lastTitle = '';
  let lastHint = '';
  for (const {title, message, hint} of errors) {
    if (title !== lastTitle) {
      text += lastHint;
      text += `error: ${title}\n`;
    }
    text += `  ${message}\n`;
    lastTitle = title;
    lastHint = `  hint: ${hint}\n`;
  }
  return {output: '', errors: text + lastHint};
}
