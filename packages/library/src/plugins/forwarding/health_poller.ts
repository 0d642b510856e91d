/** Polls the health of the targets at which this VM holds slots. */
import type {Target, TargetId, TargetReport} from '@ibisbeam/decision';
import {got} from 'got';
import * as z from 'zod';
import type {TaskContext} from '../../core/kernel/index.js';
import type {TimerHandle} from '../../core/timers/index.js';
import type {AgentPool} from './agents.js';

const POLL_INTERVAL_MS = 1_000;
/** Intervals are multiplied by a random factor of 0.75 to 1.25. */
const MINIMUM_INTERVAL_FRACTION = 0.75;
const POLL_TIMEOUT_MS = 1_000;
const MAXIMUM_HEALTH_CONNECTIONS = 2;

const healthSchema = z.object({
  healthy: z.boolean(),
  leaving: z.boolean(),
  inFlight: z.number().nonnegative(),
  slots: z.number().nonnegative(),
});

const client = got.extend({
  retry: {limit: 0},
  throwHttpErrors: false,
  followRedirect: false,
  decompress: false,
  timeout: {request: POLL_TIMEOUT_MS},
});

export interface HealthPoller {
  /** Replaces the set of polled targets. */
  setTargets(targets: readonly Target[]): void;
  stop(): void;
}

export function createHealthPoller(
  context: Pick<TaskContext, 'timers' | 'random'>,
  agents: AgentPool,
  onReport: (report: TargetReport) => void,
): HealthPoller {
  const {timers, random} = context;
  const polled = new Map<TargetId, {target: Target; next?: TimerHandle}>();

  function schedule(id: TargetId): void {
    const entry = polled.get(id);
    if (!entry) {
      return;
    }
    const jitterRange = 2 * (1 - MINIMUM_INTERVAL_FRACTION);
    const factor = MINIMUM_INTERVAL_FRACTION + jitterRange * random.next();
    entry.next = timers.after(POLL_INTERVAL_MS * factor, () => {
      void poll(entry.target);
    });
  }

  async function poll(target: Target): Promise<void> {
    const report = await fetchReport(target);
    if (report && polled.has(target.id)) {
      onReport(report);
    }
    schedule(target.id);
  }

  /** Undefined without a valid response, which does not count as unhealthy. */
  async function fetchReport(
    target: Target,
  ): Promise<TargetReport | undefined> {
    try {
      const response = await client(`http://${target.address}/health`, {
        agent: {
          http: agents.get(
            target.address,
            'health',
            MAXIMUM_HEALTH_CONNECTIONS,
          ),
        },
      });
      const parsed = healthSchema.safeParse(JSON.parse(response.body));
      return parsed.success ? {target: target.id, ...parsed.data} : undefined;
    } catch {
      return undefined;
    }
  }

  return {
    setTargets: targets => {
      const targetsById = new Map(targets.map(target => [target.id, target]));
      for (const [id, entry] of polled) {
        if (!targetsById.has(id)) {
          entry.next?.cancel();
          polled.delete(id);
        }
      }
      for (const [id, target] of targetsById) {
        const existing = polled.get(id);
        if (existing) {
          existing.target = target;
          continue;
        }
        polled.set(id, {target});
        schedule(id);
      }
    },
    stop: () => {
      for (const entry of polled.values()) {
        entry.next?.cancel();
      }
      polled.clear();
    },
  };
}
