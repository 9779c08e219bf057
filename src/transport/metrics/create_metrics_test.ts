import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {createMetrics} from './create_metrics.ts';

test('createMetrics() sends names, values and tags', async () => {
  const sink = createSocket('udp4');
  // A failed test must not keep the process alive.
  sink.unref();
  sink.bind(0, '127.0.0.1');
  await once(sink, 'listening');
  const received = once(sink, 'message');
  const metrics = await createMetrics({
    statsd: `127.0.0.1:${sink.address().port}`,
    host: 'a1',
  });
  metrics.count('requests', 2, {outcome: 'answered'});
  metrics.gauge('open', 3);
  await metrics[Symbol.asyncDispose]();
  const [message] = (await received) as [Buffer];
  const lines = String(message).split('\n');
  assert.ok(lines[0]?.startsWith('parsleypond.requests:2|c|#'));
  assert.ok(lines[0]?.includes('outcome:answered'));
  assert.ok(lines[0]?.includes('daemon:a1'));
  assert.ok(lines[1]?.startsWith('parsleypond.open:3|g'));
  sink.close();
});

test('createMetrics() neither blocks nor fails without a sink', async () => {
  const errors: unknown[] = [];
  const note = (error: unknown) => errors.push(error);
  process.on('uncaughtException', note);
  process.on('unhandledRejection', note);
  const metrics = await createMetrics({statsd: '127.0.0.1:9', host: 'a1'});
  for (let count = 0; count < 1_000; count++) metrics.count('requests');
  await metrics[Symbol.asyncDispose]();
  const silent = await createMetrics({host: 'a1'});
  silent.record('wait_ms', 1);
  await silent[Symbol.asyncDispose]();
  process.off('uncaughtException', note);
  process.off('unhandledRejection', note);
  assert.equal(errors, []);
});

test.run();
