import assert from 'node:assert/strict';
import {request} from 'node:http';
import {test} from 'uvu';
import {silentLogger} from '../../protocol/logger.ts';
import {findFreePort} from '../test_ports.ts';
import {startApiServer, type ApiRoute} from './api_server.ts';

const describeBody: ApiRoute['handle'] = async ({body, isTooLarge}) => ({
  status: 200,
  json: {characters: body.length, isTooLarge: isTooLarge === true},
});

/** Declares a body that never comes; returns the status. */
function declareBody(
  port: number,
  path: string,
  bytes: number,
): Promise<number | undefined> {
  return new Promise((resolve, reject) => {
    const headers = {'Content-Length': String(bytes)};
    const sent = request(
      {host: '127.0.0.1', port, path, method: 'POST', headers, agent: false},
      response => {
        resolve(response.statusCode);
        sent.destroy();
      },
    );
    sent.on('error', reject);
    sent.flushHeaders();
  });
}

// Guards against writers that keep a daemon busy with bodies of 8 MB each, which
// were kept and decoded before they were refused.
test('startApiServer() keeps no more of a body than its route allows', async () => {
  const port = await findFreePort();
  await using _server = await startApiServer({
    host: '127.0.0.1',
    port,
    logger: silentLogger,
    routes: [
      {method: 'POST', path: '/small', handle: describeBody},
      {
        method: 'POST',
        path: '/large',
        maxBodyBytes: 500_000,
        handle: describeBody,
      },
    ],
  });
  const send = async (path: string, bytes: number) => {
    const url = `http://127.0.0.1:${port}${path}`;
    const body = Buffer.alloc(bytes, 'x');
    const reply = await fetch(url, {method: 'POST', body});
    return reply.json();
  };
  for (const [path, maxBytes] of [
    ['/small', 64 * 1024],
    ['/large', 500_000],
  ] as const) {
    assert.deepEqual(await send(path, maxBytes), {
      characters: maxBytes,
      isTooLarge: false,
    });
    for (const bytes of [maxBytes + 1, 1024 * 1024]) {
      const expected = {characters: 0, isTooLarge: true};
      assert.deepEqual(await send(path, bytes), expected, `${path} ${bytes}`);
    }
    assert.equal(await declareBody(port, path, 1024 * 1024 + 1), 413);
  }
});

test.run();
