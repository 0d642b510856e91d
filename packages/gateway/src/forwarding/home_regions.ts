/** Home regions of a request while it is being served. */
import {commonHomeRegions} from '@ibisbeam/decision';
import type {ForwardingContext} from './context.js';
import type {ExchangeRequest} from './exchange_types.js';

/**
 * The homes of the request's arrival and those of a configuration that came
 * into force since bind its retries, its hedges, its wait for a slot and its
 * relays.
 *
 * @returns Undefined if no region may run the request anymore; empty if all may.
 */
export function homeRegionsInForce(
  context: Pick<ForwardingContext, 'findRoute'>,
  {route, incoming}: ExchangeRequest,
): readonly string[] | undefined {
  const current = context.findRoute(incoming) ?? route;
  return commonHomeRegions(route.homeRegions, current.homeRegions);
}

/**
 * Asked right before the first byte: why a request must not go to the region
 * after all. A configuration may have come into force, or the process may have
 * been paused, since the target or the peer was chosen.
 */
export function withheldFromRegion(
  context: Pick<ForwardingContext, 'findRoute' | 'copyGuard'>,
  request: ExchangeRequest,
  region: string,
): string | undefined {
  if (context.copyGuard.state() !== 'confirmed') {
    return 'the configuration may be outdated';
  }
  const homes = homeRegionsInForce(context, request);
  if (!homes || (homes.length > 0 && !homes.includes(region))) {
    return 'the home regions have changed';
  }
  return undefined;
}
