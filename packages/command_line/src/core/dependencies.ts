/** What the command line takes from its surroundings; tests give their own. */
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
  /** Whether a file that is already there may be replaced. */
  readonly replace: boolean;
}

export interface Dependencies {
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly timers: TimerService;
  readonly random: RandomSource;
  /** Unique identifiers of writes and drains. */
  uniqueId(): string;
  write(text: string): void;
  writeError(text: string): void;
  readText(file: string): Either<Errors, string>;
  exists(file: string): boolean;
  /** Files of a folder with the ending, sorted, with their paths. */
  listFiles(folder: string, suffix: string): Either<Errors, readonly string[]>;
  writeFile(
    file: string,
    text: string,
    options: WriteFileOptions,
  ): Either<Errors, void>;
  openStore(options: OpenStoreOptions): OpenStore;
  callOperatorPort(call: OperatorCall): EitherAsync<Errors, OperatorReply>;
}
