import assert from 'node:assert/strict';
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
  createServer,
} from 'node:http';
import {
  type AddressInfo,
  Server as NetServer,
  type Socket,
  connect,
} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {
  type ClientConnections,
  createClientConnections,
  createSystemTimerService,
} from '../../../src/index.js';

/** More than the buffers of the system hold for one connection. */
const LARGE_BODY_BYTES = 16_000_000;
const CLIENT_PAUSE_MS = 400;

describe('connections of clients when a server stops listening', () => {
  const timers = createSystemTimerService();
  let connections: ClientConnections;
  let server: Server;
  let respond: (incoming: IncomingMessage, outgoing: ServerResponse) => void;
  let clients: Socket[];

  beforeEach(async () => {
    connections = createClientConnections();
    clients = [];
    respond = (_, outgoing) => outgoing.end('ok');
    server = createServer((incoming, outgoing) => {
      if (connections.recordRequest(incoming, outgoing)) {
        respond(incoming, outgoing);
      }
    });
    server.on('connection', connections.add);
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });
  afterEach(async () => {
    for (const client of clients) {
      client.destroy();
    }
    await new Promise<void>(resolve => {
      server.close(() => resolve());
      server.closeAllConnections();
    });
  });

  function stopListening(): void {
    NetServer.prototype.close.call(server);
    connections.closeIdle();
  }

  function open(): Promise<Socket> {
    const {port} = server.address() as AddressInfo;
    const client = connect(port, '127.0.0.1');
    clients.push(client);
    return new Promise(resolve => {
      client.once('connect', () => resolve(client));
    });
  }

  function sendRequest(client: Socket, path = '/'): void {
    client.write(`GET ${path} HTTP/1.1\r\nHost: rooms.example\r\n\r\n`);
  }

  async function readFor(client: Socket, spanMs: number): Promise<string> {
    const chunks: Buffer[] = [];
    client.on('data', (chunk: Buffer) => chunks.push(chunk));
    client.on('error', () => {});
    client.resume();
    await timers.sleep(spanMs);
    return Buffer.concat(chunks).toString('latin1');
  }

  // Guards against answers that are cut off because their client reads slowly.
  it('stay until a client that reads slowly has the whole answer', async () => {
    respond = (_, outgoing) => outgoing.end('x'.repeat(LARGE_BODY_BYTES));
    const client = await open();
    client.pause();
    sendRequest(client);
    await timers.sleep(CLIENT_PAUSE_MS / 2);
    stopListening();
    assert.equal(connections.inFlight(), 1);
    assert.ok((connections.unfinished()[0]?.bytesLeft ?? 0) > 0);
    await timers.sleep(CLIENT_PAUSE_MS / 2);
    const text = await readFor(client, CLIENT_PAUSE_MS);
    const bodyAt = text.indexOf('\r\n\r\n') + '\r\n\r\n'.length;
    assert.equal(text.length - bodyAt, LARGE_BODY_BYTES);
    assert.equal(connections.inFlight(), 0);
  });

  it('stay while a request is read, also the second of a connection', async () => {
    const client = await open();
    sendRequest(client);
    await timers.sleep(CLIENT_PAUSE_MS / 4);
    client.write('GET /second HTTP/1.1\r\n');
    await timers.sleep(CLIENT_PAUSE_MS / 4);
    stopListening();
    client.write('Host: rooms.example\r\n\r\n');
    const text = await readFor(client, CLIENT_PAUSE_MS / 2);
    assert.equal(text.split('HTTP/1.1 200').length - 1, 2);
  });

  it('stay while a request body is read', async () => {
    respond = (incoming, outgoing) => {
      incoming.resume();
      incoming.on('end', () => outgoing.end('ok'));
    };
    const client = await open();
    client.write('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab');
    await timers.sleep(CLIENT_PAUSE_MS / 4);
    stopListening();
    client.write('cd');
    assert.match(await readFor(client, CLIENT_PAUSE_MS / 2), /200 OK/);
  });

  it('close if they are idle, but not before their first request', async () => {
    const [used, unused] = [await open(), await open()];
    sendRequest(used);
    await timers.sleep(CLIENT_PAUSE_MS / 4);
    stopListening();
    await timers.sleep(CLIENT_PAUSE_MS / 4);
    assert.equal(connections.count(), 1);
    sendRequest(unused);
    assert.match(await readFor(unused, CLIENT_PAUSE_MS / 4), /200 OK/);
  });

  it('do not close behind an answer with requests behind it', async () => {
    const answers: ServerResponse[] = [];
    respond = (_, outgoing) => answers.push(outgoing);
    const client = await open();
    sendRequest(client);
    sendRequest(client);
    while (answers.length < 2) {
      await timers.sleep(1);
    }
    const [first, second] = answers;
    assert.ok(first && second);
    assert.ok(!connections.closeAfter(first));
    first.end('first');
    assert.ok(connections.closeAfter(second));
    sendRequest(client);
    await timers.sleep(CLIENT_PAUSE_MS);
    assert.equal(answers.length, 2);
    second.end('second');
    assert.match(await readFor(client, CLIENT_PAUSE_MS), /first[^]*second/);
  });
});
