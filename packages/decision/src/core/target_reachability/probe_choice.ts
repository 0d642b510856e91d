/** Chooses targets to probe: in as many zones as possible. */
import type {ProbeTarget} from './types.js';

/**
 * @param avoided Incarnations that are chosen only if there are no others.
 * @param turn Grows with each choice, so that all targets get their turn.
 */
export function chooseProbes(
  targets: readonly ProbeTarget[],
  avoided: ReadonlySet<string>,
  count: number,
  turn: number,
): readonly ProbeTarget[] {
  const byZone = new Map<string, ProbeTarget[]>();
  for (const target of targets) {
    const ofZone = byZone.get(target.zone) ?? [];
    byZone.set(target.zone, ofZone);
    ofZone.push(target);
  }
  const zones = rotate([...byZone.values()], turn).map(ofZone => {
    const rotated = rotate(ofZone, turn);
    return [
      ...rotated.filter(target => !avoided.has(target.incarnation)),
      ...rotated.filter(target => avoided.has(target.incarnation)),
    ];
  });
  const chosen: ProbeTarget[] = [];
  const wanted = Math.min(count, targets.length);
  for (let rank = 0; chosen.length < wanted; rank += 1) {
    for (const zone of zones) {
      const target = zone[rank];
      if (target && chosen.length < wanted) {
        chosen.push(target);
      }
    }
  }
  return chosen;
}

function rotate<Item>(items: readonly Item[], by: number): readonly Item[] {
  const start = items.length === 0 ? 0 : by % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}
