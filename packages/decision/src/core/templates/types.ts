/** A validation error in a configuration document. */
export interface ConfigurationProblem {
  /** Name of the section that contains the problem. */
  readonly section: string;
  /** Path within the section, such as `values.latencyThresholdMs`. */
  readonly path: string;
  readonly problem: string;
}
