/**
 * Chooses the peer VM that takes a relayed request. Requests spread evenly over
 * the peers of the first group that has enough of them.
 */
import {hash32} from '../hashing/index.js';

export interface PeerLocation {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
}

export interface PeerQuery<Peer extends PeerLocation> {
  /** Peers that serve clients. */
  readonly peers: readonly Peer[];
  /** Location of the VM that relays. */
  readonly zone: string;
  readonly region: string;
  /** Only peers in these regions may take the request; empty for any region. */
  readonly homeRegions: readonly string[];
  /** Identifiers of peers that were tried for this request. */
  readonly excluded: ReadonlySet<string>;
  /** Differs between requests. */
  readonly spreadKey: string;
}

/** With fewer peers in the other zones, those in the own zone share the load. */
const MINIMUM_SPREAD = 2;

/** Returns undefined if no peer may take the request. */
export function choosePeer<Peer extends PeerLocation>(
  query: PeerQuery<Peer>,
): Peer | undefined {
  const {homeRegions, excluded} = query;
  const eligible = query.peers.filter(
    peer =>
      !excluded.has(peer.id) &&
      (homeRegions.length === 0 || homeRegions.includes(peer.region)),
  );
  return highestRanked(nearest(eligible, query), query.spreadKey);
}

/** Peers in the own zone come last in the region: they may be cut off too. */
function nearest<Peer extends PeerLocation>(
  eligible: readonly Peer[],
  {zone, region}: PeerQuery<Peer>,
): readonly Peer[] {
  const inRegion = eligible.filter(peer => peer.region === region);
  if (inRegion.length === 0) {
    return eligible;
  }
  const inOtherZones = inRegion.filter(peer => peer.zone !== zone);
  return inOtherZones.length >= MINIMUM_SPREAD ? inOtherZones : inRegion;
}

/** Rendezvous hashing. */
function highestRanked<Peer extends PeerLocation>(
  peers: readonly Peer[],
  spreadKey: string,
): Peer | undefined {
  let best: Peer | undefined;
  let bestRank = -1;
  for (const peer of peers) {
    const rank = hash32(`${spreadKey} ${peer.id}`);
    if (rank > bestRank) {
      best = peer;
      bestRank = rank;
    }
  }
  return best;
}
