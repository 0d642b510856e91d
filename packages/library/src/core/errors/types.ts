/** Types of the errors that are shown to operators. */

export interface ErrorCatalogueEntry {
  /** Stable name, in UpperCamelCase. */
  readonly name: string;
  readonly title: string;
  /** What is wrong and where. */
  readonly message: (details: Readonly<Record<string, unknown>>) => string;
  /** How to resolve the error. */
  readonly hint: string;
}

/** A catalogue entry with its details filled in. */
export interface OperatorError {
  readonly name: string;
  readonly title: string;
  readonly message: string;
  readonly hint: string;
  readonly details: Readonly<Record<string, unknown>>;
  /** The underlying error. */
  readonly cause?: unknown;
}
