import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect} from 'node:net';
import {test} from 'uvu';
import {closeServer, startListening} from './http_server.ts';
import {OpenAnswers} from './open_answers.ts';
import {findFreePort} from './test_ports.ts';

// Guards against a shutdown that waits forever for a caller that does not read.
test('closeIdleConnections() disconnects a reader that stalls', async () => {
  const port = await findFreePort();
  const server = createServer((_request, response) =>
    response.end(Buffer.alloc(16 * 1024 * 1024)),
  );
  const answers = new OpenAnswers(server, 50);
  await startListening(server, {host: '127.0.0.1', port});
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => {});
  socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
  await once(socket, 'readable');
  assert.equal(answers.count, 1);
  answers.closeIdleConnections();
  await answers.waitUntilSent();
  assert.equal(answers.count, 0);
  socket.destroy();
  await closeServer(server);
});

test.run();
