/**
 * Stand-in for the users' object store on loopback: objects by kind and name,
 * lists, watches and conditional writes, with fault injection.
 */
import {
  type IncomingMessage,
  type ServerResponse,
  createServer,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {TimerService} from '@ibisbeam/library';

/** Fault applied to all calls. */
export type StoreFault =
  | {readonly kind: 'none'}
  /** Responds with 503 to every call. */
  | {readonly kind: 'busy'}
  /** Accepts calls and never responds. */
  | {readonly kind: 'silent'}
  /** Executes writes, but closes the connection instead of responding. */
  | {readonly kind: 'answers-lost'}
  | {readonly kind: 'slow'; readonly delayMs: number};

export interface StandInObjectStore {
  readonly host: string;
  readonly port: number;
  /** Number of calls received, including refused ones. */
  callCount(): number;
  put(kind: string, name: string, spec: unknown): void;
  /** Writes an object whose `spec` is sent as the given JSON text. */
  putText(kind: string, name: string, specText: string): void;
  remove(kind: string, name: string): void;
  names(kind: string): readonly string[];
  setFault(fault: StoreFault): void;
  /** Discards the watch history; watches from older revisions end with 410. */
  compact(): void;
  /** Copies the store, to be restored from the copy later. */
  copy(): StoreCopy;
  /**
   * Comes back from the copy in a new era. What the operator and the targets
   * wrote since is written again over `REWRITE_MS`; entries of targets that
   * have left lapse after `LAPSE_MS`; all else written since is lost.
   */
  restore(copy: StoreCopy): void;
  close(): Promise<void>;
}

export interface StoreCopy {
  readonly revision: number;
  readonly objects: ReadonlyMap<string, ReadonlyMap<string, StoredObject>>;
}

interface StoredObject {
  readonly name: string;
  readonly revision: number;
  readonly created: number;
  readonly spec: unknown;
}

interface StoreEvent {
  readonly kind: string;
  readonly revision: number;
  readonly object: StoredObject;
  readonly deleted: boolean;
}

interface Waiter {
  readonly kind: string;
  readonly after: number;
  readonly answer: () => void;
}

const MAXIMUM_PAGE_OBJECTS = 500;
/** A page ends with the object that reaches this length. */
const MAXIMUM_PAGE_BYTES = 1_000_000;
/** Time in which writers notice what a restored store has lost. */
export const REWRITE_MS = 2_000;
/** Three heartbeat intervals of 1.5 s. */
const LAPSE_MS = 4_500;
/** Kinds that are written by the operator and the targets. */
const REWRITTEN_KINDS = ['config', 'evacuations', 'servers'];
const FIRST_REVISION = 100;
/** Age that lists may have if the caller allows it. */
const STALE_MS = 2_000;
const OBJECTS_PATTERN = /^\/objects\/([^/]+)(?:\/([^/]+))?$/;

export async function startStandInObjectStore(
  timers: Pick<TimerService, 'after'>,
  host = '127.0.0.1',
): Promise<StandInObjectStore> {
  let objects = new Map<string, Map<string, StoredObject>>();
  let era = 1;
  let events: StoreEvent[] = [];
  let revision = FIRST_REVISION;
  let oldestWatchable = FIRST_REVISION;
  let fault: StoreFault = {kind: 'none'};
  let staleCopy: StoreCopy | undefined;
  let calls = 0;
  const waiters = new Set<Waiter>();

  function objectsOfKind(kind: string): Map<string, StoredObject> {
    const known = objects.get(kind) ?? new Map<string, StoredObject>();
    objects.set(kind, known);
    return known;
  }

  function record(kind: string, object: StoredObject, deleted: boolean): void {
    events.push({kind, revision: object.revision, object, deleted});
    for (const waiter of [...waiters]) {
      if (waiter.kind === kind) {
        waiters.delete(waiter);
        waiter.answer();
      }
    }
  }

  function put(kind: string, name: string, spec: unknown): StoredObject {
    revision += 1;
    const created = objectsOfKind(kind).get(name)?.created ?? revision;
    const object = {name, revision, created, spec};
    objectsOfKind(kind).set(name, object);
    record(kind, object, false);
    return object;
  }

  function remove(kind: string, name: string): void {
    const known = objectsOfKind(kind).get(name);
    if (!known) {
      return;
    }
    revision += 1;
    objectsOfKind(kind).delete(name);
    record(kind, {...known, revision}, true);
  }

  const server = createServer((incoming, outgoing) => {
    calls += 1;
    outgoing.setHeader('Store-Era', String(era));
    const chunks: Buffer[] = [];
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
    incoming.on('end', () => {
      const body = Buffer.concat(chunks).toString('utf8');
      const current = fault;
      switch (current.kind) {
        case 'busy':
          send(outgoing, 503, {error: 'busy'});
          return;
        case 'silent':
          return;
        case 'slow':
          timers.after(current.delayMs, () => serve(incoming, outgoing, body));
          return;
        case 'answers-lost':
          if (incoming.method !== 'GET') {
            serve(incoming, undefined, body);
          }
          incoming.socket.destroy();
          return;
        case 'none':
          serve(incoming, outgoing, body);
          return;
      }
    });
  });

  function serve(
    incoming: IncomingMessage,
    outgoing: ServerResponse | undefined,
    body: string,
  ): void {
    const url = new URL(incoming.url ?? '/', 'http://store');
    const [, kind, name] = OBJECTS_PATTERN.exec(url.pathname) ?? [];
    if (kind === undefined) {
      send(outgoing, 404, {error: 'no such path'});
      return;
    }
    const target = name === undefined ? undefined : decodeURIComponent(name);
    switch (incoming.method) {
      case 'GET':
        serveGet(kind, target, url.searchParams, outgoing);
        return;
      case 'POST':
        servePost(kind, JSON.parse(body), outgoing);
        return;
      case 'PUT':
        servePut(kind, target ?? '', JSON.parse(body), outgoing);
        return;
      case 'DELETE':
        serveDelete(kind, target ?? '', url.searchParams, outgoing);
        return;
      default:
        send(outgoing, 400, {error: 'no such call'});
    }
  }

  function serveGet(
    kind: string,
    name: string | undefined,
    query: URLSearchParams,
    outgoing: ServerResponse | undefined,
  ): void {
    if (name !== undefined) {
      const object = objectsOfKind(kind).get(name);
      send(outgoing, object ? 200 : 404, object ? toWire(object) : {});
      return;
    }
    const watch = query.get('watch');
    if (watch !== null) {
      serveWatch(kind, Number(watch), Number(query.get('wait_ms')), outgoing);
      return;
    }
    const after = query.get('after') ?? '';
    const {revision: listedRevision, objects: listed} = query.has('allow_stale')
      ? staleObjects()
      : {revision, objects};
    const rest = [...(listed.get(kind)?.values() ?? [])]
      .filter(object => object.name > after)
      .sort((one, other) => (one.name < other.name ? -1 : 1));
    const page = firstPage(rest);
    send(outgoing, 200, {
      items: page.map(toWire),
      has_more: rest.length > page.length,
      store_revision: listedRevision,
    });
  }

  /** All objects as they were up to `STALE_MS` ago. */
  function staleObjects(): StoreCopy {
    if (!staleCopy) {
      staleCopy = {revision, objects: copyObjects()};
      timers.after(STALE_MS, () => {
        staleCopy = undefined;
      });
    }
    return staleCopy;
  }

  function serveWatch(
    kind: string,
    after: number,
    waitMs: number,
    outgoing: ServerResponse | undefined,
  ): void {
    if (after < oldestWatchable || after > revision) {
      send(outgoing, 410, {error: 'history is gone'});
      return;
    }
    const pendingEvents = (): StoreEvent[] =>
      events.filter(event => event.kind === kind && event.revision > after);
    const answer = (): void => {
      waiters.delete(waiter);
      timer?.cancel();
      send(outgoing, 200, {
        events: pendingEvents().map(({object, deleted}) => ({
          object: toWire(object),
          deleted,
        })),
        store_revision: revision,
      });
    };
    const waiter: Waiter = {kind, after, answer};
    const timer =
      pendingEvents().length > 0 ? undefined : timers.after(waitMs, answer);
    if (!timer) {
      answer();
      return;
    }
    waiters.add(waiter);
    outgoing?.on('close', () => {
      waiters.delete(waiter);
      timer.cancel();
    });
  }

  function servePost(
    kind: string,
    request: {metadata: {name: string}; spec: unknown},
    outgoing: ServerResponse | undefined,
  ): void {
    const known = objectsOfKind(kind).get(request.metadata.name);
    if (known) {
      send(outgoing, 409, toWire(known));
      return;
    }
    send(outgoing, 200, toWire(put(kind, request.metadata.name, request.spec)));
  }

  function servePut(
    kind: string,
    name: string,
    request: {metadata?: {revision?: number}; spec: unknown},
    outgoing: ServerResponse | undefined,
  ): void {
    const known = objectsOfKind(kind).get(name);
    if (!known) {
      send(outgoing, 404, {});
      return;
    }
    const expected = request.metadata?.revision;
    if (expected !== undefined && expected !== known.revision) {
      send(outgoing, 409, toWire(known));
      return;
    }
    send(outgoing, 200, toWire(put(kind, name, request.spec)));
  }

  function serveDelete(
    kind: string,
    name: string,
    query: URLSearchParams,
    outgoing: ServerResponse | undefined,
  ): void {
    const known = objectsOfKind(kind).get(name);
    if (!known) {
      send(outgoing, 404, {});
      return;
    }
    const expected = query.get('revision');
    if (expected !== null && Number(expected) !== known.revision) {
      send(outgoing, 409, toWire(known));
      return;
    }
    remove(kind, name);
    send(outgoing, 200, toWire(known));
  }

  function copyObjects(): Map<string, Map<string, StoredObject>> {
    const copied = new Map<string, Map<string, StoredObject>>();
    for (const [kind, byName] of objects) {
      copied.set(kind, new Map(byName));
    }
    return copied;
  }

  function restore(copy: StoreCopy): void {
    const lost = objects;
    staleCopy = undefined;
    objects = new Map();
    for (const [kind, byName] of copy.objects) {
      objects.set(kind, new Map(byName));
    }
    revision = copy.revision;
    events = [];
    oldestWatchable = revision;
    era += 1;
    waiters.clear();
    server.closeAllConnections();
    for (const kind of REWRITTEN_KINDS) {
      rewrite(kind, lost.get(kind) ?? new Map());
    }
  }

  /** The writers of a kind notice what the store has lost, one by one. */
  function rewrite(
    kind: string,
    written: ReadonlyMap<string, StoredObject>,
  ): void {
    const restored = new Map(objectsOfKind(kind));
    const names = [...new Set([...written.keys(), ...restored.keys()])];
    for (const [index, name] of names.entries()) {
      const own = written.get(name);
      const copied = restored.get(name);
      if (own === copied) {
        continue;
      }
      const rewriteAfterMs = ((index + 1) / names.length) * REWRITE_MS;
      const lapses = !own && kind === 'servers';
      timers.after(lapses ? LAPSE_MS : rewriteAfterMs, () => {
        const isUntouched = objectsOfKind(kind).get(name) === copied;
        if (isUntouched && own) {
          put(kind, name, own.spec);
        } else if (isUntouched) {
          remove(kind, name);
        }
      });
    }
  }

  await new Promise<void>(resolve => {
    server.listen(0, host, resolve);
  });

  return {
    host,
    port: (server.address() as AddressInfo).port,
    callCount: () => calls,
    put: (kind, name, spec) => void put(kind, name, spec),
    putText: (kind, name, specText) =>
      void put(kind, name, createRawSpec(specText)),
    remove,
    names: kind => [...objectsOfKind(kind).keys()],
    setFault: next => {
      fault = next;
      if (next.kind !== 'none') {
        waiters.clear();
      }
    },
    compact: () => {
      events = [];
      revision += 1;
      oldestWatchable = revision;
      for (const waiter of [...waiters]) {
        waiters.delete(waiter);
        waiter.answer();
      }
    },
    copy: () => ({revision, objects: copyObjects()}),
    restore,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

/** Stands for a JSON text that is sent as it is. */
interface RawSpec {
  readonly rawText: string;
}

const rawSpecs = new WeakSet<object>();

function createRawSpec(rawText: string): RawSpec {
  const raw = {rawText};
  rawSpecs.add(raw);
  return raw;
}

function isRawSpec(value: unknown): value is RawSpec {
  return typeof value === 'object' && value !== null && rawSpecs.has(value);
}

/** Numbers that JSON cannot write, and very deep texts, have no other way. */
function toText(body: unknown): string {
  const rawTexts: string[] = [];
  const text = JSON.stringify(body, (_key, value: unknown) => {
    if (!isRawSpec(value)) {
      return value;
    }
    rawTexts.push(value.rawText);
    return `raw-text-${rawTexts.length - 1}`;
  });
  return text.replace(
    /"raw-text-(\d+)"/g,
    (_match, index: string) => rawTexts[Number(index)] ?? 'null',
  );
}

function firstPage(objects: readonly StoredObject[]): readonly StoredObject[] {
  const page: StoredObject[] = [];
  let bytes = 0;
  for (const object of objects) {
    if (page.length === MAXIMUM_PAGE_OBJECTS || bytes >= MAXIMUM_PAGE_BYTES) {
      break;
    }
    page.push(object);
    bytes += Buffer.byteLength(toText(toWire(object)));
  }
  return page;
}

function toWire(object: StoredObject): unknown {
  return {
    metadata: {
      name: object.name,
      revision: object.revision,
      created: object.created,
      finalizers: [],
      deleting: false,
    },
    spec: object.spec,
    status: null,
  };
}

function send(
  outgoing: ServerResponse | undefined,
  status: number,
  body: unknown,
): void {
  if (!outgoing || outgoing.destroyed) {
    return;
  }
  const text = toText(body);
  outgoing.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  outgoing.end(text);
}
