/** Finds ports for tests that start servers. */
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';

/** Finds a TCP port on loopback that is not in use. */
export async function findFreePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}
