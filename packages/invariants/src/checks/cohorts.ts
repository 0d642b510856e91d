/** Request attributes used by the shift checks. */
import type {RegionName, RequestId, ServiceName} from '@ibisbeam/decision';
import type {Trace} from '../trace.js';

export interface CohortRequest {
  readonly service: ServiceName;
  readonly home: RegionName;
  readonly cohort: number;
}

export function cohortRequests(
  trace: Trace,
): ReadonlyMap<RequestId, CohortRequest> {
  const requests = new Map<RequestId, CohortRequest>();
  for (const event of trace.events) {
    if (event.kind === 'request-sent') {
      const {service, homeRegion: home, cohort} = event;
      requests.set(event.request, {service, home, cohort});
    }
  }
  return requests;
}

export function cohortKey(request: CohortRequest): string {
  return `${request.service}/${request.home}/${request.cohort}`;
}
