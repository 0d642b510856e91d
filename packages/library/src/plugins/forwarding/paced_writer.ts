/** Streams a response, limited by back pressure and a byte rate. */
import type {ServerResponse} from 'node:http';
import type {TimerService} from '../../core/timers/index.js';

const MILLISECONDS_PER_SECOND = 1_000;

export interface PacedWriterOptions {
  readonly response: ServerResponse;
  readonly timers: TimerService;
  /** Unlimited if absent. */
  readonly bytesPerSecond?: number;
  /** Pauses the source of the chunks. */
  pause(): void;
  resume(): void;
}

export interface PacedWriter {
  write(chunk: Buffer): void;
  end(): void;
}

export function createPacedWriter(options: PacedWriterOptions): PacedWriter {
  const {response, timers, bytesPerSecond} = options;
  let waitingForDrain = false;
  let waitingForPace = false;
  let nextAtMs = timers.nowMs();

  function resumeWhenFree(): void {
    if (!waitingForDrain && !waitingForPace) {
      options.resume();
    }
  }

  function pace(bytes: number): void {
    if (bytesPerSecond === undefined) {
      return;
    }
    const nowMs = timers.nowMs();
    const spanMs = (bytes / bytesPerSecond) * MILLISECONDS_PER_SECOND;
    nextAtMs = Math.max(nextAtMs, nowMs) + spanMs;
    if (waitingForPace) {
      return;
    }
    waitingForPace = true;
    options.pause();
    timers.at(nextAtMs, () => {
      waitingForPace = false;
      resumeWhenFree();
    });
  }

  return {
    write: chunk => {
      if (!response.write(chunk) && !waitingForDrain) {
        waitingForDrain = true;
        options.pause();
        response.once('drain', () => {
          waitingForDrain = false;
          resumeWhenFree();
        });
      }
      pace(chunk.length);
    },
    end: () => {
      response.end();
    },
  };
}
