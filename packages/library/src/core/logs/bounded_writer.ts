/**
 * Writes log lines through a bounded buffer, so that a slow reader never blocks
 * the caller: lines are batched, one write is in flight at a time, and lines that
 * do not fit the buffer are dropped and counted.
 */
import {write} from 'node:fs';
import type {TimerService} from '../timers/index.js';

export interface BoundedWriter {
  /** Buffers a line, including its newline. Returns false if it was dropped. */
  write(line: string): boolean;
  /** Returns the number of lines dropped since the last call. */
  takeDropped(): number;
  /** Resolves when the buffer has been written, or after the timeout. */
  flush(timeoutMs: number): Promise<void>;
}

export interface BoundedWriterOptions {
  readonly timers: TimerService;
  /** Writes a text, and calls `done` when it is written or has failed. */
  readonly output: (text: string, done: (error?: Error) => void) => void;
  /** Lines beyond this are dropped; 1,000,000 by default. */
  readonly maximumBufferedCharacters?: number;
}

/** Delay in which lines are collected into one write. */
const BATCH_DELAY_MS = 50;
const DEFAULT_BUFFER_CHARACTERS = 1_000_000;
const FLUSH_POLL_MS = 5;

export function createBoundedWriter(
  options: BoundedWriterOptions,
): BoundedWriter {
  const maximumCharacters =
    options.maximumBufferedCharacters ?? DEFAULT_BUFFER_CHARACTERS;
  let lines: string[] = [];
  let bufferedCharacters = 0;
  let dropped = 0;
  let writing = false;
  let scheduled = false;

  function schedule(): void {
    if (scheduled || writing) {
      return;
    }
    scheduled = true;
    options.timers.after(BATCH_DELAY_MS, () => {
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
      bufferedCharacters -= text.length;
      if (error) {
        // The log output itself failed, so the error cannot be logged. It is
        // only counted, once for the batch.
        dropped += 1;
      }
      if (lines.length > 0) {
        schedule();
      }
    });
  }

  return {
    write: line => {
      if (bufferedCharacters + line.length > maximumCharacters) {
        dropped += 1;
        return false;
      }
      lines.push(line);
      bufferedCharacters += line.length;
      schedule();
      return true;
    },
    takeDropped: () => {
      const taken = dropped;
      dropped = 0;
      return taken;
    },
    flush: async timeoutMs => {
      const deadlineMs = options.timers.nowMs() + timeoutMs;
      while (bufferedCharacters > 0 && options.timers.nowMs() < deadlineMs) {
        drain();
        await options.timers.sleep(FLUSH_POLL_MS);
      }
    },
  };
}

/** Creates an output that writes to a file descriptor asynchronously. */
export function createFileDescriptorOutput(
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
