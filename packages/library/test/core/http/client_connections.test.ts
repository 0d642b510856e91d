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
  type ClientAnswer,
  type ClientConnections,
  createClientConnections,
  createSystemTimerService,
} from '../../../src/index.js';

/** More than the buffers of the system hold for one connection. */
const LARGE_BODY_BYTES = 16_000_000;
const CLIENT_PAUSE_MS = 400;
/** In which a client may read the last answer. */
const LINGER_MS = 1_000;

describe('connections of clients when a server stops listening', () => {
  const timers = createSystemTimerService();
  let connections: ClientConnections;
  let server: Server;
  let respond: (
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    answer: ClientAnswer,
  ) => void;
  let clients: Socket[];
  let closesAfterAnswers: boolean;

  beforeEach(async () => {
    closesAfterAnswers = false;
    connections = createClientConnections({
      timers,
      closesAfterAnswers: () => closesAfterAnswers,
    });
    clients = [];
    respond = (_, outgoing) => outgoing.end('ok');
    server = createServer((incoming, outgoing) => {
      const answer = connections.recordRequest(incoming, outgoing);
      if (answer) {
        respond(incoming, outgoing, answer);
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

  for (const delivery of ['whole', 'streamed'] as const) {
    // Guards against a long answer that a reset cuts off, since its client reads
    // slowly and sends ahead on a connection that was closed as idle.
    it(`stay until a client that sends ahead has a long answer (${delivery})`, async () => {
      const bodyBytes = 400_000;
      const client = await open();
      client.pause();
      await new Promise<void>(resolve => {
        respond = (_, outgoing, answer) => {
          // The system holds all of it.
          answer.onEnd(resolve);
          answer.write(
            () => {
              outgoing.writeHead(200, {'Content-Length': bodyBytes});
              outgoing.end('x'.repeat(bodyBytes));
            },
            {delivery},
          );
        };
        sendRequest(client);
      });
      await timers.sleep(LINGER_MS + CLIENT_PAUSE_MS / 2);
      stopListening();
      await timers.sleep(CLIENT_PAUSE_MS / 2);
      assert.equal(connections.lingering(), 1);
      sendRequest(client, '/ahead');
      await timers.sleep(CLIENT_PAUSE_MS / 2);
      const text = await readFor(client, CLIENT_PAUSE_MS);
      const bodyAt = text.indexOf('\r\n\r\n') + '\r\n\r\n'.length;
      assert.equal(text.length - bodyAt, bodyBytes);
      assert.equal(connections.lingering(), 0);
    });
  }

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
    const requests = collectRequests();
    const client = await open();
    sendRequest(client);
    sendRequest(client);
    while (requests.length < 2) {
      await timers.sleep(1);
    }
    const [first, second] = requests;
    assert.ok(first && second);
    client.pause();
    const closes = true;
    first.answer.write(() => first.outgoing.end('first'), {closes});
    second.answer.write(() => second.outgoing.end('second'), {closes});
    await timers.sleep(CLIENT_PAUSE_MS / 4);
    sendRequest(client);
    await timers.sleep(CLIENT_PAUSE_MS);
    assert.equal(requests.length, 2);
    const text = await readFor(client, CLIENT_PAUSE_MS);
    assert.match(text, /first[^]*connection: close[^]*second/i);
    assert.equal(text.match(/connection: close/gi)?.length, 1);
  });

  function collectRequests(): CollectedRequest[] {
    const requests: CollectedRequest[] = [];
    respond = (_, outgoing, answer) => requests.push({outgoing, answer});
    return requests;
  }

  async function collect(
    client: Socket,
    count: number,
  ): Promise<readonly CollectedRequest[]> {
    const requests = collectRequests();
    for (let index = 0; index < count; index += 1) {
      sendRequest(client, `/${index}`);
    }
    while (requests.length < count) {
      await timers.sleep(1);
    }
    return requests;
  }

  function writeAnswer({outgoing, answer}: CollectedRequest, body: string) {
    answer.write(() => outgoing.end(body));
  }

  // Guards against a head that is written before it is known whether further
  // requests follow: a connection on which requests are always under way would
  // never close.
  it('close with the last of several answers, in their order', async () => {
    closesAfterAnswers = true;
    const client = await open();
    const requests = await collect(client, 3);
    for (const index of [2, 1, 0]) {
      const request = requests[index];
      assert.ok(request);
      writeAnswer(request, `body-${index}`);
    }
    const text = await readFor(client, CLIENT_PAUSE_MS / 2);
    assert.match(text, /body-0[^]*body-1[^]*body-2/);
    assert.equal(text.match(/connection: close/gi)?.length, 1);
    assert.match(text, /connection: close[^]*body-2/i);
    assert.equal(connections.count(), 0);
    assert.equal(connections.inFlight(), 0);
  });

  // Guards against requests behind a long answer that are read and thrown away,
  // because its head has said that it closes the connection.
  it('close behind a streamed answer with the last one behind it', async () => {
    closesAfterAnswers = true;
    const client = await open();
    const requests = collectRequests();
    sendRequest(client);
    while (requests.length < 1) {
      await timers.sleep(1);
    }
    const [streamed] = requests;
    assert.ok(streamed);
    const delivery = 'streamed';
    streamed.answer.write(() => streamed.outgoing.write('body-0'), {delivery});
    sendRequest(client);
    while (requests.length < 2) {
      await timers.sleep(1);
    }
    const [, behind] = requests;
    assert.ok(behind);
    writeAnswer(behind, 'body-1');
    streamed.outgoing.end('end-0');
    const text = await readFor(client, CLIENT_PAUSE_MS / 2);
    assert.match(text, /body-0[^]*end-0[^]*connection: close[^]*body-1/i);
    assert.equal(text.match(/connection: close/gi)?.length, 1);
    assert.equal(connections.count(), 0);
  });

  // Guards against the end of a long answer that its client has not read when the
  // connection is closed as idle.
  it('stay while a client may be reading the end of a streamed answer', async () => {
    closesAfterAnswers = true;
    respond = (_, outgoing, answer) =>
      answer.write(() => outgoing.end('streamed'), {delivery: 'streamed'});
    const client = await open();
    sendRequest(client);
    await timers.sleep(CLIENT_PAUSE_MS / 4);
    assert.equal(connections.inFlight(), 0);
    assert.equal(connections.lingering(), 1);
    stopListening();
    await timers.sleep(CLIENT_PAUSE_MS / 4);
    assert.equal(connections.count(), 1);
    await timers.sleep(LINGER_MS);
    assert.equal(connections.lingering(), 0);
    connections.closeIdle();
    await readFor(client, CLIENT_PAUSE_MS / 4);
    assert.equal(connections.count(), 0);
  });

  // Guards against a request that has come while the process stood still, and that
  // is read only after an earlier answer has closed its connection.
  it('do not close before what their clients have sent is read', async () => {
    closesAfterAnswers = true;
    const client = await open();
    const paths: string[] = [];
    respond = ({url = ''}, outgoing, answer) => {
      paths.push(url);
      if (paths.length < 3) {
        sendRequest(client, `/${paths.length}`);
      }
      answer.write(() => outgoing.end(`answer to ${url}`));
    };
    sendRequest(client, '/0');
    const text = await readFor(client, CLIENT_PAUSE_MS / 2);
    assert.match(text, /answer to \/0[^]*answer to \/1[^]*answer to \/2/);
    assert.match(text, /connection: close[^]*answer to \/2/i);
    assert.equal(text.match(/connection: close/gi)?.length, 1);
    assert.equal(connections.count(), 0);
  });

  // Guards against a request that is lost because its connection counted as idle
  // until the request was read.
  for (const [name, closeConnections] of [
    ['as idle ones', () => connections.closeIdle()],
    ['after their idle timeout', socket => connections.closeUnused(socket)],
  ] satisfies readonly (readonly [string, (socket: Socket) => void])[]) {
    it(`do not close ${name} before their input is read`, async () => {
      const [idle, busy] = [await open(), await open()];
      let idleSocket: Socket | undefined;
      respond = ({socket}, outgoing) => {
        idleSocket = socket;
        outgoing.end('before');
      };
      sendRequest(idle);
      await readFor(idle, CLIENT_PAUSE_MS / 8);
      respond = ({url}, outgoing) => {
        if (url === '/busy' && idleSocket) {
          sendRequest(idle, '/late');
          closeConnections(idleSocket);
        }
        outgoing.end(`answer to ${url}`);
      };
      sendRequest(busy, '/busy');
      const text = await readFor(idle, CLIENT_PAUSE_MS / 4);
      assert.match(text, /answer to \/late/);
      if (idleSocket) {
        closeConnections(idleSocket);
      }
      await timers.sleep(CLIENT_PAUSE_MS / 8);
      assert.ok(idleSocket?.destroyed);
    });
  }

  // Guards against requests that node:http tells nothing of the end of their
  // connection, because earlier ones have no answer yet.
  for (const leave of ['destroy', 'resetAndDestroy', 'end'] as const) {
    it(`tell all requests of a client that leaves (${leave})`, async () => {
      const client = await open();
      const requests = await collect(client, 3);
      const left: number[] = [];
      const ended: number[] = [];
      for (const [index, {answer}] of requests.entries()) {
        answer.onClientLeft(() => left.push(index));
        answer.onEnd(() => ended.push(index));
      }
      client[leave]();
      await timers.sleep(CLIENT_PAUSE_MS / 4);
      assert.deepEqual(left, [0, 1, 2]);
      assert.deepEqual(ended, [0, 1, 2]);
      assert.equal(connections.inFlight(), 0);
    });
  }

  // Guards against a client whose departure is not noticed because answers wait
  // for an earlier one.
  it('tell of a client that leaves while large answers wait', async () => {
    const client = await open();
    const requests = await collect(client, 3);
    const [first, ...behind] = requests;
    for (const request of behind) {
      writeAnswer(request, 'x'.repeat(LARGE_BODY_BYTES / 8));
    }
    let hasLeft = false;
    first?.answer.onClientLeft(() => {
      hasLeft = true;
    });
    client.destroy();
    await timers.sleep(CLIENT_PAUSE_MS / 4);
    assert.ok(hasLeft);
  });

  it('ask for a decision on each answer that has none', async () => {
    const client = await open();
    const requests = await collect(client, 3);
    const [, decided] = requests;
    assert.ok(decided);
    writeAnswer(decided, 'decided');
    for (const request of requests) {
      request.answer.onDecisionDue(scope => writeAnswer(request, scope));
    }
    connections.decideNow('all');
    const text = await readFor(client, CLIENT_PAUSE_MS / 4);
    assert.match(text, /all[^]*decided[^]*all/);
  });

  // Guards against a last answer that is lost since its client was still sending
  // when the connection was closed.
  it('let a client that sends on read the last answer', async () => {
    closesAfterAnswers = true;
    const client = await open();
    const requests = await collect(client, 2);
    client.pause();
    for (const [index, request] of requests.entries()) {
      writeAnswer(request, `body-${index}`);
    }
    for (let index = 0; index < 10; index += 1) {
      await timers.sleep(CLIENT_PAUSE_MS / 40);
      sendRequest(client);
    }
    assert.equal(connections.lingering(), 1);
    const text = await readFor(client, CLIENT_PAUSE_MS / 4);
    assert.match(text, /body-0[^]*body-1/);
    assert.equal(requests.length, 2);
    assert.equal(connections.count(), 0);
  });

  // Guards against the end of an answer that is cut off because its client reads
  // slowly from a connection that closes.
  it('that close stay until a slow reader has the whole answer', async () => {
    respond = (_, outgoing) => outgoing.end('x'.repeat(LARGE_BODY_BYTES));
    const client = await open();
    client.pause();
    client.write(
      'GET / HTTP/1.1\r\nHost: rooms.example\r\nConnection: close\r\n\r\n',
    );
    await timers.sleep(LINGER_MS + CLIENT_PAUSE_MS);
    const text = await readFor(client, CLIENT_PAUSE_MS);
    const bodyAt = text.indexOf('\r\n\r\n') + '\r\n\r\n'.length;
    assert.equal(text.length - bodyAt, LARGE_BODY_BYTES);
    assert.equal(connections.count(), 0);
  });

  // Guards against a refusal that is lost because its client still sends the body
  // when the connection is closed.
  it('that close stay while a refused body is on its way', async () => {
    respond = (_, outgoing, answer) =>
      answer.write(() => outgoing.writeHead(413).end('too large'), {
        closes: true,
      });
    const client = await open();
    const errors: string[] = [];
    client.on('error', (error: NodeJS.ErrnoException) => {
      errors.push(error.code ?? '');
    });
    client.pause();
    client.write('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 40\r\n\r\n');
    for (let sent = 0; sent < 40; sent += 1) {
      await timers.sleep(LINGER_MS / 20);
      client.write('x');
    }
    const text = await readFor(client, CLIENT_PAUSE_MS / 4);
    assert.match(text, /413[^]*too large/);
    assert.deepEqual(errors, []);
    assert.equal(connections.count(), 0);
  });

  it('bring no request behind one that asks to close', async () => {
    const requests = collectRequests();
    const client = await open();
    client.write(
      'GET /last HTTP/1.1\r\nHost: rooms.example\r\nConnection: close\r\n\r\n',
    );
    sendRequest(client);
    while (requests.length < 1) {
      await timers.sleep(1);
    }
    const [last] = requests;
    assert.ok(last);
    writeAnswer(last, 'last');
    await timers.sleep(CLIENT_PAUSE_MS / 8);
    sendRequest(client);
    assert.match(await readFor(client, CLIENT_PAUSE_MS / 8), /last/);
    assert.equal(requests.length, 1);
  });

  // Guards against an answer that ends with its connection and looks complete
  // although it was cut off.
  it('are reset if the answer under way ends with its connection', async () => {
    respond = (_, outgoing) => outgoing.write('part');
    const client = await open();
    const errors: string[] = [];
    client.on('error', (error: NodeJS.ErrnoException) => {
      errors.push(error.code ?? '');
    });
    client.write('GET / HTTP/1.0\r\nHost: rooms.example\r\n\r\n');
    await timers.sleep(CLIENT_PAUSE_MS / 4);
    connections.terminate();
    await readFor(client, CLIENT_PAUSE_MS / 4);
    assert.deepEqual(errors, ['ECONNRESET']);
  });
});

interface CollectedRequest {
  readonly outgoing: ServerResponse;
  readonly answer: ClientAnswer;
}
