/** Random number generator that is injected into the decision logic. */
export interface RandomSource {
  /** Uniform in [0, 1). */
  next(): number;
  /** Uniform integer in [0, bound). */
  below(bound: number): number;
}
