/** Entries that another writer leaves in the store during a soak. */
import {
  type RandomSource,
  createRandomSource,
  hash32,
} from '@ibisbeam/decision';
import type {TimerHandle, TimerService} from '@ibisbeam/library';
import type {StandInObjectStore} from '@ibisbeam/stand-ins';

export interface ForeignEntries {
  start(): void;
  /** A process has been started; ignored until `start`. */
  onStart(): void;
  /** Writes entries at once. */
  write(): void;
  stop(): void;
}

export interface ForeignEntriesOptions {
  readonly seed: number;
  readonly timers: TimerService;
  readonly store: Pick<StandInObjectStore, 'putText' | 'remove'>;
  recordEvent(text: string): void;
}

type Shape = 'numbers' | 'text' | 'deep' | 'small' | 'target with a long field';

const SHAPES: readonly Shape[] = [
  'numbers',
  'text',
  'deep',
  'small',
  'target with a long field',
];
const KINDS = ['servers', 'evacuations', 'config', 'vms'];
const VALUE_BYTES = 1_048_576;
/** What the rest of an object may take of its length. */
const OBJECT_OVERHEAD_BYTES = 1_024;
const MAXIMUM_TOTAL_BYTES = 3 * VALUE_BYTES;
const MAXIMUM_COUNT = 500;
const MINIMUM_PAUSE_MS = 400;
const PAUSE_RANGE_MS = 1_600;
const MINIMUM_LIFETIME_MS = 300;
const LIFETIME_RANGE_MS = 4_000;

export function createForeignEntries(
  options: ForeignEntriesOptions,
): ForeignEntries {
  const {timers, store, recordEvent} = options;
  const random = createRandomSource(hash32(`foreign entries ${options.seed}`));
  const present = new Set<() => void>();
  let timer: TimerHandle | undefined;
  let written = 0;
  let isActive = false;

  function schedule(): void {
    const pauseMs = MINIMUM_PAUSE_MS + random.below(PAUSE_RANGE_MS);
    timer = timers.after(pauseMs, () => {
      write();
      schedule();
    });
  }

  function write(): void {
    const kind = KINDS[random.below(KINDS.length)] ?? 'servers';
    const shape = SHAPES[random.below(SHAPES.length)] ?? 'numbers';
    const bytes = pickBytes(shape, random);
    const count = 1 + random.below(maximumCount(bytes));
    const text = textOf(shape, bytes);
    recordEvent(
      `${count} foreign entries in ${kind}: ${shape}, ${bytes} bytes`,
    );
    const names: string[] = [];
    for (let index = 0; index < count; index += 1) {
      written += 1;
      const name = `foreign-${written}`;
      names.push(name);
      store.putText(kind, name, text);
    }
    const remove = (): void => {
      present.delete(remove);
      for (const name of names) {
        store.remove(kind, name);
      }
    };
    present.add(remove);
    timers.after(MINIMUM_LIFETIME_MS + random.below(LIFETIME_RANGE_MS), remove);
  }

  return {
    start: () => {
      isActive = true;
      schedule();
    },
    onStart: () => {
      if (isActive) {
        write();
      }
    },
    write,
    stop: () => {
      isActive = false;
      timer?.cancel();
      for (const remove of present) {
        remove();
      }
    },
  };
}

function pickBytes(shape: Shape, random: RandomSource): number {
  const longest = VALUE_BYTES - OBJECT_OVERHEAD_BYTES;
  return shape === 'small' ? 64 : 1_024 + random.below(longest - 1_024);
}

function maximumCount(bytes: number): number {
  return Math.min(MAXIMUM_COUNT, Math.floor(MAXIMUM_TOTAL_BYTES / bytes));
}

function textOf(shape: Shape, bytes: number): string {
  switch (shape) {
    case 'numbers':
      return `{"readings":[0${',0'.repeat(bytes / 2)}]}`;
    case 'text':
      return `{"note":"${'x'.repeat(bytes)}"}`;
    case 'deep':
      return '['.repeat(bytes / 2) + ']'.repeat(bytes / 2);
    case 'small':
      return '{"service":7}';
    case 'target with a long field':
      return `{"service":"rooms","address":"127.0.0.1:9","zone":"riga-a","slots":4,"state":"draining","cold_remaining_ms":0,"born":1,"note":"${'x'.repeat(bytes)}"}`;
  }
}
