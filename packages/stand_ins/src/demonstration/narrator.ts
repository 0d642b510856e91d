/** Prints what happened in the demonstration, and why. */
import assert from 'node:assert/strict';

export interface Narrator {
  heading(text: string): void;
  /** One thing that happened. */
  happened(text: string): void;
  /** The reason for it. */
  because(text: string): void;
  /** @throws When a promise does not hold, which ends the demonstration. */
  promise(holds: boolean, text: string): void;
}

export function createNarrator(write: (line: string) => void): Narrator {
  return {
    heading: text => write(`\n== ${text}\n`),
    happened: text => write(`   ${text}\n`),
    because: text => write(`     why: ${text}\n`),
    promise: (holds, text) => {
      assert.ok(holds, `broken promise: ${text}`);
      write(`   ok: ${text}\n`);
    },
  };
}
