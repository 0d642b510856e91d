/** Periods in which a VM is exempt from invariants with a time bound. */

/** Period in which a VM is exempt from invariants with a time bound. */
export interface Disruption {
  readonly vm: string;
  readonly fromMs: number;
  readonly toMs: number;
  /** `store`: only the VM's way to the store is disturbed. */
  readonly kind: 'planned-stop' | 'store' | 'other';
}

/** Time bounds apply to a VM again this long after a disruption. */
export const SETTLING_MS = 3_000;

/** Whether the VM may have lost, or missed, what a target said. */
export function isRestartedOrFrozen(
  disruptions: readonly Disruption[],
  vm: string,
  fromMs: number,
  toMs: number,
): boolean {
  return disruptions.some(
    span =>
      span.kind !== 'store' &&
      span.vm === vm &&
      span.fromMs < toMs &&
      span.toMs > fromMs,
  );
}

/** Considers only disruptions of the VM that received the call. */
export function isDisrupted(
  disruptions: readonly Disruption[],
  vm: string | undefined,
  fromMs: number,
  toMs: number,
): boolean {
  return disruptions.some(
    span =>
      span.vm === vm &&
      span.fromMs < toMs &&
      span.toMs + SETTLING_MS > fromMs - SETTLING_MS,
  );
}
