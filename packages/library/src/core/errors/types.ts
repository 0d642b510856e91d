/** Shape of the errors that operators and callers see. */

export interface CatalogueEntry {
  /** Stable name, in UpperCamelCase. */
  readonly name: string;
  readonly title: string;
  /** What is wrong and where. */
  readonly message: (details: Readonly<Record<string, unknown>>) => string;
  /** What to do about it. */
  readonly hint: string;
}

/** An entry of the catalogue with its details filled in. */
export interface OperatorError {
  readonly name: string;
  readonly title: string;
  readonly message: string;
  readonly hint: string;
  readonly details: Readonly<Record<string, unknown>>;
  /** The error of the layer below. */
  readonly cause?: unknown;
}
