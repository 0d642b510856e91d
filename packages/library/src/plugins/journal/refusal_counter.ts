/**
 * Counts refusals by workspace, service and reason, so that the journal has room
 * for those of a whole night.
 */
import type {RequestRecord} from '@ibisbeam/decision';

export interface RefusalCounter {
  add(record: RequestRecord): void;
  /** Returns the counts since the last call and resets them. */
  takeCounts(): readonly {
    readonly workspace: string;
    readonly service: string;
    readonly reason: string;
    readonly count: number;
  }[];
}

export function createRefusalCounter(): RefusalCounter {
  let counts = new Map<
    string,
    {workspace: string; service: string; reason: string; count: number}
  >();
  return {
    add: ({workspace, service, result, refusal}) => {
      if (result !== 'refused' && result !== 'unknown') {
        return;
      }
      const reason = refusal ?? result;
      const key = `${workspace} ${service} ${reason}`;
      const known = counts.get(key);
      if (known) {
        known.count += 1;
        return;
      }
      counts.set(key, {workspace, service, reason, count: 1});
    },
    takeCounts: () => {
      const taken = [...counts.values()];
      counts = new Map();
      return taken;
    },
  };
}
