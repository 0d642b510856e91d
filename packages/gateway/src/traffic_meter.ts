/**
 * Counts the bytes that this VM exchanges with peers and targets, by what they
 * carry and how far they travel, so that the traffic between zones can be told
 * apart.
 */
import type {Logger} from '@ibisbeam/library';
import type {PeerMessage} from './peers/messages.js';

/** Kinds of messages to peers, and bodies of requests and answers. */
export type TrafficContent =
  PeerMessage['kind'] | 'target-request' | 'target-answer';

export type TrafficDistance = 'zone' | 'region' | 'other-region';

export interface Place {
  readonly zone: string;
  readonly region: string;
}

export interface TrafficMeter {
  /** Headers and framing are not counted. */
  record(content: TrafficContent, otherEnd: Place, bytes: number): void;
  /** Logs what has left the zone since the last call, if anything has. */
  flush(): void;
}

export interface TrafficMeterOptions {
  /** Location of this VM. */
  readonly self: Place;
  readonly log: Logger;
  countBytes(
    content: TrafficContent,
    distance: TrafficDistance,
    bytes: number,
  ): void;
}

export const TRAFFIC_LOG_INTERVAL_MS = 10_000;

export function createTrafficMeter(options: TrafficMeterOptions): TrafficMeter {
  const {self, log} = options;
  const bytesByDistance = new Map<TrafficDistance, Map<string, number>>();

  function distanceTo({zone, region}: Place): TrafficDistance {
    if (zone === self.zone) {
      return 'zone';
    }
    return region === self.region ? 'region' : 'other-region';
  }

  return {
    record: (content, otherEnd, bytes) => {
      const distance = distanceTo(otherEnd);
      options.countBytes(content, distance, bytes);
      if (distance === 'zone') {
        return;
      }
      const byContent =
        bytesByDistance.get(distance) ?? new Map<string, number>();
      bytesByDistance.set(distance, byContent);
      byContent.set(content, (byContent.get(content) ?? 0) + bytes);
    },
    flush: () => {
      for (const [distance, byContent] of bytesByDistance) {
        log.log('info', 'traffic', {
          distance,
          ...Object.fromEntries(byContent),
        });
      }
      bytesByDistance.clear();
    },
  };
}
