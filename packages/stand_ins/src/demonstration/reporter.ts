/** Prints the steps of the demonstration and the reasons for their results. */
import assert from 'node:assert/strict';

export interface Reporter {
  heading(text: string): void;
  /** Prints an event. */
  event(text: string): void;
  /** Prints the reason for the preceding event. */
  reason(text: string): void;
  /** @throws If the condition does not hold, which ends the demonstration. */
  check(holds: boolean, text: string): void;
}

export function createReporter(write: (line: string) => void): Reporter {
  return {
    heading: text => write(`\n== ${text}\n`),
    event: text => write(`   ${text}\n`),
    reason: text => write(`     why: ${text}\n`),
    check: (holds, text) => {
      assert.ok(holds, `check failed: ${text}`);
      write(`   ok: ${text}\n`);
    },
  };
}
