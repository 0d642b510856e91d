import {type AddressInfo, type Server, createServer} from 'node:net';

/**
 * Finds free loopback addresses. All ports stay open until the last one is
 * known, so that none is returned twice, but another socket may take one
 * afterwards.
 */
export async function reserveAddresses(
  count: number,
): Promise<readonly string[]> {
  const servers: Server[] = [];
  for (let index = 0; index < count; index += 1) {
    const server = createServer();
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    servers.push(server);
  }
  const addresses: string[] = [];
  for (const server of servers) {
    const {port} = server.address() as AddressInfo;
    addresses.push(`127.0.0.1:${port}`);
    await new Promise<void>(resolve => {
      server.close(() => resolve());
    });
  }
  return addresses;
}
