/** The result of a command: text for a terminal and data for JSON output. */
import type {OperatorError} from '@ibisbeam/library';
import type {ExitStatus} from './exit_status.js';

export interface CommandOutput {
  readonly text: string;
  readonly data: unknown;
  /** Written to the error stream in text output. */
  readonly warnings?: readonly string[];
}

export type OutputFormat = 'text' | 'json';

export function renderOutput(
  result: CommandOutput,
  format: OutputFormat,
): {readonly output: string; readonly errors: string} {
  const warnings = result.warnings ?? [];
  if (format === 'json') {
    const body = {ok: true, data: result.data, warnings};
    return {output: `${JSON.stringify(body, null, 2)}\n`, errors: ''};
  }
  const errors = warnings.map(warning => `warning: ${warning}\n`).join('');
  const output = result.text.endsWith('\n') ? result.text : `${result.text}\n`;
  return {output, errors};
}

export function renderErrors(
  errors: readonly OperatorError[],
  status: ExitStatus,
  format: OutputFormat,
): {readonly output: string; readonly errors: string} {
  if (format === 'json') {
    const items = errors.map(({name, title, message, hint, details}) => ({
      name,
      title,
      message,
      hint,
      details,
    }));
    const body = {ok: false, status, errors: items};
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
