/** HTTP agents for targets and peers, with bounded and reused connections. */
import {Agent} from 'node:http';

/** Shorter than the idle timeout of common servers, which is 5 s. */
const IDLE_CONNECTION_TIMEOUT_MS = 4_000;
const MAXIMUM_IDLE_CONNECTIONS = 256;

/**
 * `reused`: connections are kept alive. `fresh`: each request opens its own
 * connection; on a reused one, a server that closes it as idle at that moment
 * would leave the outcome of a non-idempotent request unknown. `health`: kept
 * alive, and separate from requests, so that neither waits for the other.
 */
export type ConnectionUse = 'reused' | 'fresh' | 'health';

export interface AgentPool {
  /** @param maximumConnections Further requests are queued unsent. */
  get(address: string, use: ConnectionUse, maximumConnections: number): Agent;
  /**
   * Keeps only the agents of these addresses. The connections of the others
   * close at once if idle, or after their request.
   */
  retain(addresses: ReadonlySet<string>): void;
  close(): void;
}

export function createAgentPool(): AgentPool {
  const agents = new Map<string, Agent>();

  function get(
    address: string,
    use: ConnectionUse,
    maximumConnections: number,
  ): Agent {
    const key = `${use} ${address}`;
    const known = agents.get(key);
    if (known) {
      known.maxSockets = maximumConnections;
      return known;
    }
    const agent = new Agent({
      keepAlive: use !== 'fresh',
      maxSockets: maximumConnections,
      maxFreeSockets: Math.min(maximumConnections, MAXIMUM_IDLE_CONNECTIONS),
      scheduling: 'lifo',
      timeout: IDLE_CONNECTION_TIMEOUT_MS,
    });
    agents.set(key, agent);
    return agent;
  }

  return {
    get,
    retain: addresses => {
      for (const [key, agent] of agents) {
        const address = key.slice(key.indexOf(' ') + 1);
        if (!addresses.has(address)) {
          closeIdle(agent);
          agents.delete(key);
        }
      }
    },
    close: () => {
      for (const agent of agents.values()) {
        agent.destroy();
      }
      agents.clear();
    },
  };
}

function closeIdle(agent: Agent): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of sockets ?? []) {
      socket.destroy();
    }
  }
}
