/** A source of random numbers that decisions take by injection. */
export interface RandomSource {
  /** Uniform in [0, 1). */
  next(): number;
  /** Uniform integer in [0, bound). */
  below(bound: number): number;
}
