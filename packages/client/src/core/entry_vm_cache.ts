/**
 * Caches look-up responses for their lifetimes and keeps a temporary avoid list
 * of entry VMs.
 */
import * as z from 'zod';
import type {
  ClientTimers,
  EntryVmChoice,
  Transport,
  TransportRequest,
} from './types.js';

const LOOKUP_TIMEOUT_MS = 1_000;
const AVOIDANCE_MS = 5_000;
const MILLISECONDS_PER_SECOND = 1_000;
/** After a failed look-up the expired entry is used this long before a retry. */
const FAILED_LOOKUP_RETRY_MS = 1_000;

const lookupAnswerSchema = z.object({
  lifetimeSeconds: z.number().nonnegative(),
  entryVms: z
    .array(
      z.object({
        id: z.string(),
        address: z.string(),
        weight: z.number().nonnegative(),
      }),
    )
    .min(1),
});

interface CachedAnswer {
  readonly choices: readonly EntryVmChoice[];
  readonly validUntilMs: number;
}

export interface EntryVmCache {
  /** Returns the cached entry VMs, or looks them up if they expired. */
  choices(service: string): Promise<readonly EntryVmChoice[]>;
  /**
   * Chooses an address at random by weight, other than `except` and not
   * avoided. Falls back to an avoided entry VM, then to the first one of the
   * response, and to a seed if no look-up has succeeded.
   */
  choose(service: string, except: string | undefined): Promise<string>;
  /** Excludes the address from `choose` for 5 s where there is an alternative. */
  avoid(address: string): void;
}

export interface EntryVmCacheOptions {
  readonly seeds: readonly string[];
  readonly timers: ClientTimers;
  readonly transport: Transport;
  readonly random: () => number;
  /** Builds the path with its query and the headers of a look-up request. */
  readonly lookupRequest: (
    service: string,
  ) => Promise<Pick<TransportRequest, 'path' | 'headers'>>;
}

export function createEntryVmCache(options: EntryVmCacheOptions): EntryVmCache {
  const {seeds, timers, transport, random} = options;
  const answers = new Map<string, CachedAnswer>();
  const pending = new Map<string, Promise<readonly EntryVmChoice[]>>();
  const avoidedUntilMs = new Map<string, number>();

  function choices(service: string): Promise<readonly EntryVmChoice[]> {
    const cached = answers.get(service);
    if (cached && timers.nowMs() < cached.validUntilMs) {
      return Promise.resolve(cached.choices);
    }
    const pendingLookup = pending.get(service);
    if (pendingLookup) {
      return pendingLookup;
    }
    const started = refresh(service, cached).finally(() => {
      pending.delete(service);
    });
    pending.set(service, started);
    return started;
  }

  /** Asks known entry VMs before the seeds, which may no longer exist. */
  async function refresh(
    service: string,
    cached: CachedAnswer | undefined,
  ): Promise<readonly EntryVmChoice[]> {
    const known = (cached?.choices ?? []).map(({address}) => address);
    const order = new Set([
      ...withoutAvoided(known),
      ...rotated(seeds),
      ...known,
    ]);
    for (const address of order) {
      const found = await requestChoices(service, address);
      if (found) {
        answers.set(service, found);
        return found.choices;
      }
      avoid(address);
    }
    const staleChoices = cached?.choices ?? [];
    const validUntilMs = timers.nowMs() + FAILED_LOOKUP_RETRY_MS;
    answers.set(service, {choices: staleChoices, validUntilMs});
    return staleChoices;
  }

  async function requestChoices(
    service: string,
    address: string,
  ): Promise<CachedAnswer | undefined> {
    const {path, headers} = await options.lookupRequest(service);
    const result = await transport({
      address,
      method: 'GET',
      path,
      headers,
      timeoutMs: LOOKUP_TIMEOUT_MS,
    });
    if (result.kind !== 'answered' || result.status !== 200) {
      return undefined;
    }
    const parsed = parseAnswer(result.body);
    return (
      parsed && {
        choices: parsed.entryVms,
        validUntilMs:
          timers.nowMs() + parsed.lifetimeSeconds * MILLISECONDS_PER_SECOND,
      }
    );
  }

  async function choose(
    service: string,
    except: string | undefined,
  ): Promise<string> {
    const found = await choices(service);
    const candidates = found.filter(
      ({address}) => address !== except && isUsable(address),
    );
    const fallback = found.filter(({address}) => address !== except);
    const [first] = candidates.length > 0 ? candidates : fallback;
    if (!first) {
      return found[0]?.address ?? rotated(seeds)[0]!;
    }
    return chooseByWeight(candidates.length > 0 ? candidates : fallback);
  }

  function chooseByWeight(candidates: readonly EntryVmChoice[]): string {
    let total = 0;
    for (const {weight} of candidates) {
      total += weight;
    }
    let remainingWeight = random() * total;
    for (const {address, weight} of candidates) {
      remainingWeight -= weight;
      if (remainingWeight < 0) {
        return address;
      }
    }
    return candidates[0]!.address;
  }

  function avoid(address: string): void {
    avoidedUntilMs.set(address, timers.nowMs() + AVOIDANCE_MS);
  }

  function isUsable(address: string): boolean {
    return (avoidedUntilMs.get(address) ?? 0) <= timers.nowMs();
  }

  function withoutAvoided(addresses: readonly string[]): readonly string[] {
    return addresses.filter(isUsable);
  }

  /** Starts at a random index so that clients spread over the seeds. */
  function rotated(addresses: readonly string[]): readonly string[] {
    const start = Math.floor(random() * addresses.length);
    return [...addresses.slice(start), ...addresses.slice(0, start)];
  }

  return {choices, choose, avoid};
}

function parseAnswer(body: Uint8Array) {
  try {
    const text = Buffer.from(body).toString('utf8');
    return lookupAnswerSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
