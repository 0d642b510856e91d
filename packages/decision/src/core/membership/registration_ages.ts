/**
 * Finds registrations of VMs that are gone. VMs are replaced under new names,
 * and one that is lost for good cannot remove its registration.
 */

export interface RegistrationAges {
  /**
   * Returns the registered VMs that have been silent for too long, as seen by
   * this VM: it starts to count when it first sees a registration.
   *
   * @param heard VMs from which this VM has heard since the last call.
   */
  findStale(
    registered: Iterable<string>,
    heard: ReadonlySet<string>,
    nowMs: number,
  ): readonly string[];
}

export function createRegistrationAges(lifetimeMs: number): RegistrationAges {
  let lastAliveMs: ReadonlyMap<string, number> = new Map();

  return {
    findStale: (registered, heard, nowMs) => {
      const next = new Map<string, number>();
      const stale: string[] = [];
      for (const id of registered) {
        const aliveMs = heard.has(id) ? nowMs : (lastAliveMs.get(id) ?? nowMs);
        next.set(id, aliveMs);
        if (nowMs - aliveMs > lifetimeMs) {
          stale.push(id);
        }
      }
      lastAliveMs = next;
      return stale;
    },
  };
}
