/** What the command line needs of its environment; tests replace it. */
import type {
  OperatorError,
  PlatformStore,
  TimerService,
} from '@ibisbeam/library';
import type {RandomSource} from '@ibisbeam/decision';
import type {Either, EitherAsync} from 'purify-ts';

export type Errors = readonly OperatorError[];

/** A call to the operator port of one VM. */
export interface OperatorCall {
  readonly address: string;
  readonly method: 'GET' | 'DELETE';
  /** With leading slash and query. */
  readonly path: string;
  readonly token: string;
  readonly timeoutMs: number;
}

export interface OperatorReply {
  readonly status: number;
  readonly body: unknown;
}

export interface OpenStoreOptions {
  readonly url: string;
  readonly token?: string;
  readonly timeoutMs: number;
}

export interface OpenStore {
  readonly store: PlatformStore;
  close(): void;
}

export interface WriteFileOptions {
  /** File permissions, such as 0o600 for a key. */
  readonly mode: number;
  /** Whether to overwrite an existing file rather than fail. */
  readonly replace: boolean;
}

export interface Dependencies {
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly timers: TimerService;
  readonly random: RandomSource;
  /** Returns a unique identifier for a write or a drain. */
  uniqueId(): string;
  write(text: string): void;
  writeError(text: string): void;
  readText(file: string): Either<Errors, string>;
  exists(file: string): boolean;
  /** Sorted paths of the files in a folder whose names end in `suffix`. */
  listFiles(folder: string, suffix: string): Either<Errors, readonly string[]>;
  writeFile(
    file: string,
    text: string,
    options: WriteFileOptions,
  ): Either<Errors, void>;
  openStore(options: OpenStoreOptions): OpenStore;
  callOperatorPort(call: OperatorCall): EitherAsync<Errors, OperatorReply>;
}
