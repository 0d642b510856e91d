/**
 * Decides when a request that was sent ahead, behind others on its connection,
 * is begun: at once while there is memory for its answer, otherwise when it is
 * its turn. A request in turn never waits, so that each connection goes on.
 *
 * Load pattern: callers that send many requests behind a slow one, whose
 * answers all wait for it.
 */
export interface AheadQueue {
  /** Begins the request now or later. */
  add(request: AheadRequest): WaitingAhead;
  /** Begins requests that have room now. Call it when bytes were given back. */
  offer(): void;
  /** Number of requests that have not been begun. */
  waiting(): number;
}

export interface AheadRequest {
  /** Whether all earlier requests of its connection have been answered. */
  readonly isInTurn: boolean;
  /** Sets aside what the request will hold; false if there is no room. */
  reserve(): boolean;
  begin(): void;
}

export interface WaitingAhead {
  /** All earlier requests of the connection have been answered. */
  takeTurn(): void;
  /** It need not be begun any more. */
  remove(): void;
}

export function createAheadQueue(): AheadQueue {
  /** In the order of arrival. */
  const queue = new Set<AheadRequest>();

  return {
    add: request => {
      if (request.isInTurn || (queue.size === 0 && request.reserve())) {
        request.begin();
        return {takeTurn: () => {}, remove: () => {}};
      }
      queue.add(request);
      return {
        takeTurn: () => {
          if (queue.delete(request)) {
            request.begin();
          }
        },
        remove: () => void queue.delete(request),
      };
    },
    offer: () => {
      for (const request of queue) {
        if (!request.reserve()) {
          return;
        }
        queue.delete(request);
        request.begin();
      }
    },
    waiting: () => queue.size,
  };
}
