/** Problems that keep a document from becoming a configuration. */
export interface ConfigurationProblem {
  /** Section in which the problem stands. */
  readonly section: string;
  /** Path within the section, such as `values.latencyThresholdMs`. */
  readonly path: string;
  readonly problem: string;
}
