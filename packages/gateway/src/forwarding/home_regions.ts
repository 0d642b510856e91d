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
