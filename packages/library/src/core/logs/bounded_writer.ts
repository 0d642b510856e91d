/**
 * Writes log lines to a file descriptor without ever waiting for its reader:
 * lines are joined, one write is under way at a time, and what does not fit
 * the buffer is dropped and counted.
 */
import {write} from 'node:fs';
import type {TimerService} from '../timers/index.js';

export interface BoundedWriter {
  /** Takes a line with its line end; false if it was dropped. */
  write(line: string): boolean;
  /** Lines dropped since the last call. */
  takeDropped(): number;
  /** Resolves when what is buffered is written, or after the bound. */
  flush(boundMs: number): Promise<void>;
}

export interface BoundedWriterOptions {
  readonly timers: TimerService;
  /** Writes a text and calls back when it has left. */
  readonly output: (text: string, done: (error?: Error) => void) => void;
  readonly maximumBufferedCharacters?: number;
}

/** Lines wait so long for others to share a write. */
const GATHER_MS = 50;
const DEFAULT_BUFFER_CHARACTERS = 1_000_000;
const FLUSH_POLL_MS = 5;

export function createBoundedWriter(
  options: BoundedWriterOptions,
): BoundedWriter {
  const limit = options.maximumBufferedCharacters ?? DEFAULT_BUFFER_CHARACTERS;
  let lines: string[] = [];
  let buffered = 0;
  let dropped = 0;
  let writing = false;
  let scheduled = false;

  function schedule(): void {
    if (scheduled || writing) {
      return;
    }
    scheduled = true;
    options.timers.after(GATHER_MS, () => {
      scheduled = false;
      drain();
    });
  }

  function drain(): void {
    if (writing || lines.length === 0) {
      return;
    }
    const text = lines.join('');
    lines = [];
    writing = true;
    options.output(text, error => {
      writing = false;
      buffered -= text.length;
      if (error) {
        // Nobody is left to read of it; the count still tells.
        dropped += 1;
      }
      if (lines.length > 0) {
        schedule();
      }
    });
  }

  return {
    write: line => {
      if (buffered + line.length > limit) {
        dropped += 1;
        return false;
      }
      lines.push(line);
      buffered += line.length;
      schedule();
      return true;
    },
    takeDropped: () => {
      const taken = dropped;
      dropped = 0;
      return taken;
    },
    flush: async boundMs => {
      const endsMs = options.timers.nowMs() + boundMs;
      while (buffered > 0 && options.timers.nowMs() < endsMs) {
        drain();
        await options.timers.sleep(FLUSH_POLL_MS);
      }
    },
  };
}

/** Output to a file descriptor, off the main thread. */
export function createDescriptorOutput(
  descriptor: number,
): (text: string, done: (error?: Error) => void) => void {
  return (text, done) => {
    const bytes = Buffer.from(text, 'utf8');

    function writeFrom(offset: number): void {
      write(descriptor, bytes, offset, bytes.length - offset, null, onWritten);

      function onWritten(error: Error | null, written: number): void {
        if (error || offset + written >= bytes.length) {
          done(error ?? undefined);
          return;
        }
        writeFrom(offset + written);
      }
    }

    writeFrom(0);
  };
}
