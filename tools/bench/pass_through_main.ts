/**
 * The baseline: a proxy with polka and undici that forwards requests and
 * answers and does nothing else.
 *
 * Takes one argument, a JSON object with `address` and `engines`.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import polka from 'polka';
import {Agent, request} from 'undici';
import * as z from 'zod';

const options = z
  .object({address: z.string(), engines: z.array(z.string()).min(1)})
  .parse(JSON.parse(process.argv[2] ?? '{}'));
const agent = new Agent({connections: null, pipelining: 1});
let next = 0;

async function forward(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
): Promise<void> {
  const parts: Buffer[] = [];
  for await (const part of incoming) parts.push(part as Buffer);
  const engine = options.engines[next++ % options.engines.length] ?? '';
  const response = await request(`http://${engine}/v1/chat/completions`, {
    method: 'POST',
    dispatcher: agent,
    headers: {'content-type': 'application/json'},
    body: Buffer.concat(parts),
  });
  outgoing.writeHead(response.statusCode, {
    'content-type': 'text/event-stream',
  });
  for await (const part of response.body) outgoing.write(part);
  outgoing.end();
}

const [host, port] = options.address.split(':');
polka()
  .post('/v1/chat/completions', (incoming, outgoing) => {
    forward(incoming, outgoing).catch(() => outgoing.destroy());
  })
  .listen(Number(port), host);
