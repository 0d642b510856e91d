/** HTTP server for the object API of a platform store. */
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import Router from '@koa/router';
import type {PlatformError, PlatformStore} from '@ibisbeam/library';
import type {Either} from 'purify-ts';
import Koa, {type Context} from 'koa';

const MAXIMUM_BODY_BYTES = 1_200_000;
const CALL_OPTIONS = {purpose: 'operator'} as const;

export interface PlatformServer {
  readonly url: string;
  close(): Promise<void>;
}

/** Listens on a free port of the loopback address. */
export async function startPlatformServer(
  store: PlatformStore,
): Promise<PlatformServer> {
  const application = new Koa();
  const router = buildRouter(store);
  application.use(router.routes());
  const server = application.listen(0, '127.0.0.1');
  await new Promise(resolve => server.once('listening', resolve));
  const {port} = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    close: () => closeServer(server),
  };
}

function buildRouter(store: PlatformStore): Router {
  const router = new Router({prefix: '/v1'});

  router.get('/objects', async context => {
    const prefix = queryText(context, 'prefix');
    answer(context, await store.list(prefix, CALL_OPTIONS));
  });

  router.get('/changes', async context => {
    const disconnected = new AbortController();
    context.res.once('close', () => disconnected.abort());
    const watched = await store.watch(
      queryText(context, 'prefix'),
      Number(queryText(context, 'after')),
      {
        ...CALL_OPTIONS,
        waitMs: Number(queryText(context, 'waitMs')),
        signal: disconnected.signal,
      },
    );
    answer(context, watched);
  });

  router.get('/vms', async context => {
    const listed = await store.listVms(CALL_OPTIONS);
    answer(
      context,
      listed.map(vms => ({vms})),
    );
  });

  router.get('/objects/:key', async context => {
    answer(context, await store.read(keyOf(context), CALL_OPTIONS));
  });

  router.put('/objects/:key', async context => {
    const {value} = JSON.parse(await readBody(context)) as {value: unknown};
    const version = context.get('if-match');
    if (version) {
      const updated = await store.update(
        keyOf(context),
        Number(version),
        value,
        CALL_OPTIONS,
      );
      answer(context, updated);
      return;
    }
    answer(context, await store.create(keyOf(context), value, CALL_OPTIONS));
  });

  router.delete('/objects/:key', async context => {
    const version = Number(context.get('if-match'));
    const deleted = await store.delete(keyOf(context), version, CALL_OPTIONS);
    answer(
      context,
      deleted.map(() => ({})),
    );
  });

  return router;
}

function answer(context: Context, result: Either<PlatformError, object>): void {
  result
    .ifRight(value => {
      context.status = 200;
      context.body = value;
    })
    .ifLeft(error => answerError(context, error));
}

function answerError(context: Context, error: PlatformError): void {
  switch (error.kind) {
    case 'conflict':
      context.status = 412;
      context.body = {current: error.current};
      return;
    case 'not-found':
      context.status = 404;
      return;
    case 'watch-gap':
      context.status = 410;
      return;
    case 'lost-answer':
      context.res.destroy();
      context.respond = false;
      return;
    case 'unavailable':
      context.status = 503;
      if (error.retryAfterMs !== undefined) {
        context.set('retry-after', String(error.retryAfterMs / 1_000));
      }
      return;
    case 'rejected':
      context.status = 400;
      context.body = error.cause;
      return;
  }
}

function keyOf(context: Context): string {
  return String(context['params'].key);
}

function queryText(context: Context, name: string): string {
  const value = context.query[name];
  return typeof value === 'string' ? value : '';
}

async function readBody(context: Context): Promise<string> {
  const pieces: Buffer[] = [];
  let bytes = 0;
  for await (const piece of context.req) {
    const buffer = piece as Buffer;
    bytes += buffer.byteLength;
    if (bytes > MAXIMUM_BODY_BYTES) {
      context.throw(413);
    }
    pieces.push(buffer);
  }
  return Buffer.concat(pieces).toString('utf8');
}

function closeServer(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
