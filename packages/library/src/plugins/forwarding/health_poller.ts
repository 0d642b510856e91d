/** Asks the targets at which this VM holds slots how they are. */
import type {Target, TargetId, TargetReport} from '@ibisbeam/decision';
import {got} from 'got';
import * as z from 'zod';
import type {TaskContext} from '../../core/kernel/index.js';
import type {TimerHandle} from '../../core/timers/index.js';
import type {Agents} from './agents.js';

const POLL_INTERVAL_MS = 1_000;
/** Each wait is between this fraction of the interval and its mirror image. */
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
  /** Polls exactly these from now on. */
  setTargets(targets: readonly Target[]): void;
  stop(): void;
}

export function createHealthPoller(
  context: Pick<TaskContext, 'timers' | 'random'>,
  agents: Agents,
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

  /** Nothing when the target gives no readable answer: no news is no sign. */
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
      const wanted = new Map(targets.map(target => [target.id, target]));
      for (const [id, entry] of polled) {
        if (!wanted.has(id)) {
          entry.next?.cancel();
          polled.delete(id);
        }
      }
      for (const [id, target] of wanted) {
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
