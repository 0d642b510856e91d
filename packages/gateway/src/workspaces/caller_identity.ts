/**
 * Tells which workspace a request belongs to: by its API key or, if a peer
 * relays it, by what the peer says.
 */
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {
  type KeyTable,
  type Route,
  type Workspace,
  createKeyTable,
} from '@ibisbeam/decision';
import {headerValues} from '@ibisbeam/library';
import type {HeaderNames} from '../core/protocol.js';
import {decodeHeaderText} from '../forwarding/header_rules.js';

/** On whose behalf a request is served. */
export type Caller =
  /** The configuration has no workspaces. */
  | {readonly kind: 'any'}
  /** The route needs no API key, and the caller sent none that is known. */
  | {readonly kind: 'anonymous'}
  | {
      readonly kind: 'workspace';
      readonly workspace: Workspace;
      /** Undefined if a peer has checked the key. */
      readonly keyDigest: string | undefined;
    };

export type Identification =
  | {readonly kind: 'identified'; readonly caller: Caller}
  | {
      readonly kind: 'refused';
      readonly status: 401 | 503;
      readonly reason: string;
    };

export interface CallerIdentity {
  /** @param workspaces Undefined if callers need no API keys. */
  setWorkspaces(workspaces: readonly Workspace[] | undefined): void;
  identify(incoming: IncomingMessage, route: Route): Identification;
  /**
   * The caller's workspace as it is now.
   *
   * @returns Undefined if the caller may not send requests for it anymore.
   */
  current(caller: Caller): Caller | undefined;
  /** What peers must send with requests that they relay to this VM. */
  readonly relayToken: string;
}

const SECRET_BYTES = 32;
const RELAY_TOKEN_BYTES = 16;

export function createCallerIdentity(headers: HeaderNames): CallerIdentity {
  const secret = randomBytes(SECRET_BYTES);
  const relayToken = randomBytes(RELAY_TOKEN_BYTES).toString('hex');
  const relayTokenBytes = Buffer.from(relayToken);
  let keys: KeyTable | undefined;

  function digest(apiKey: string): string {
    return createHmac('sha256', secret).update(apiKey).digest('base64');
  }

  function isFromPeer(token: string): boolean {
    const bytes = Buffer.from(token);
    return (
      bytes.length === relayTokenBytes.length &&
      timingSafeEqual(bytes, relayTokenBytes)
    );
  }

  function identify(incoming: IncomingMessage, route: Route): Identification {
    if (!keys) {
      return {kind: 'identified', caller: {kind: 'any'}};
    }
    const {rawHeaders} = incoming;
    const [token] = headerValues(rawHeaders, headers.relayToken);
    if (token !== undefined) {
      return identifyRelayed(keys, rawHeaders, token);
    }
    return identifyByKey(keys, headerValues(rawHeaders, headers.apiKey), route);
  }

  /** A peer that cannot show the token gets a promise that nothing has run. */
  function identifyRelayed(
    known: KeyTable,
    rawHeaders: readonly string[],
    token: string,
  ): Identification {
    if (!isFromPeer(token)) {
      const reason = 'the relay token is not that of this VM';
      return {kind: 'refused', status: 503, reason};
    }
    const [name] = headerValues(rawHeaders, headers.workspace);
    if (name === undefined) {
      return {kind: 'identified', caller: {kind: 'anonymous'}};
    }
    // Peers of earlier builds write letters of Latin-1 as they are.
    const workspace =
      known.byName(decodeHeaderText(name)) ?? known.byName(name);
    if (!workspace) {
      const reason = 'the workspace is not in the configuration in force';
      return {kind: 'refused', status: 503, reason};
    }
    const caller: Caller = {kind: 'workspace', workspace, keyDigest: undefined};
    return {kind: 'identified', caller};
  }

  function identifyByKey(
    known: KeyTable,
    apiKeys: readonly string[],
    route: Route,
  ): Identification {
    const [apiKey] = apiKeys;
    if (apiKeys.length === 1 && apiKey !== undefined) {
      const keyDigest = digest(apiKey);
      const workspace = known.find(keyDigest);
      if (workspace) {
        const caller: Caller = {kind: 'workspace', workspace, keyDigest};
        return {kind: 'identified', caller};
      }
    }
    if (!route.needsApiKey) {
      return {kind: 'identified', caller: {kind: 'anonymous'}};
    }
    const reason =
      apiKeys.length === 1
        ? `the key in ${headers.apiKey} is not known`
        : `exactly one ${headers.apiKey} header is needed`;
    return {kind: 'refused', status: 401, reason};
  }

  function current(caller: Caller): Caller | undefined {
    switch (caller.kind) {
      case 'any':
      case 'anonymous':
        return caller;
      case 'workspace':
        return currentWorkspace(caller);
    }
  }

  function currentWorkspace(
    caller: Extract<Caller, {kind: 'workspace'}>,
  ): Caller | undefined {
    const {keyDigest} = caller;
    const {name} = caller.workspace;
    const workspace =
      keyDigest === undefined ? keys?.byName(name) : keys?.find(keyDigest);
    if (!keys) {
      return caller;
    }
    return workspace?.name === name ? {...caller, workspace} : undefined;
  }

  return {
    setWorkspaces: workspaces => {
      keys = workspaces && createKeyTable(workspaces, digest);
    },
    identify,
    current,
    relayToken,
  };
}
