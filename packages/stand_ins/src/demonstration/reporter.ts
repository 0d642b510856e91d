/** Prints what happened in the demonstration, and why. */
import assert from 'node:assert/strict';

export interface Reporter {
  heading(text: string): void;
  /** One thing that happened. */
  event(text: string): void;
  /** The reason for it. */
  reason(text: string): void;
  /** @throws When a promise does not hold, which ends the demonstration. */
  check(holds: boolean, text: string): void;
}

export function createReporter(write: (line: string) => void): Reporter {
  return {
    heading: text => write(`\n== ${text}\n`),
    event: text => write(`   ${text}\n`),
    reason: text => write(`     why: ${text}\n`),
    check: (holds, text) => {
      assert.ok(holds, `broken promise: ${text}`);
      write(`   ok: ${text}\n`);
    },
  };
}
