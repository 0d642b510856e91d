/** Home regions of a request while it is being served. */
import {commonHomeRegions} from '@ibisbeam/decision';
import type {Caller} from '../workspaces/caller_identity.js';
import type {ForwardingContext} from './context.js';
import type {ExchangeRequest} from './exchange_types.js';
import {STOPPING_REASON} from './response_delivery.js';

/**
 * The homes of the request's arrival and those of a configuration that came
 * into force since bind its retries, its hedges, its wait for a slot and its
 * relays.
 *
 * @returns Undefined if no region may run the request anymore; empty if all may.
 */
export function homeRegionsInForce(
  context: Pick<ForwardingContext, 'findRoute' | 'callers'>,
  {route, incoming, caller}: ExchangeRequest,
): readonly string[] | undefined {
  const currentRoute = context.findRoute(incoming) ?? route;
  const currentCaller = context.callers.current(caller) ?? caller;
  return commonToAll([
    route.homeRegions,
    currentRoute.homeRegions,
    homeRegionsOf(caller),
    homeRegionsOf(currentCaller),
  ]);
}

/** Homes of the caller's workspace; empty if any region may run its requests. */
export function homeRegionsOf(caller: Caller): readonly string[] {
  return caller.kind === 'workspace' ? caller.workspace.homeRegions : [];
}

function commonToAll(
  lists: ReadonlyArray<readonly string[]>,
): readonly string[] | undefined {
  let common: readonly string[] | undefined = [];
  for (const list of lists) {
    common = commonHomeRegions(common, list);
    if (!common) {
      return undefined;
    }
  }
  return common;
}

/**
 * Asked right before the first byte: why a request must not go to the region
 * after all. A configuration may have come into force, or the process may have
 * been paused, since the target or the peer was chosen.
 */
export function withheldFromRegion(
  context: Pick<
    ForwardingContext,
    'findRoute' | 'callers' | 'copyGuard' | 'gracefulStop'
  >,
  request: ExchangeRequest,
  region: string,
): string | undefined {
  if (!context.gracefulStop.mayBegin(0)) {
    return STOPPING_REASON;
  }
  if (context.copyGuard.state() !== 'confirmed') {
    return 'the configuration may be outdated';
  }
  if (!context.callers.current(request.caller)) {
    return 'the API key has been removed';
  }
  const homes = homeRegionsInForce(context, request);
  if (!homes || (homes.length > 0 && !homes.includes(region))) {
    return 'the home regions have changed';
  }
  return undefined;
}
