import assert from 'node:assert/strict';
import {test} from 'uvu';
import {createTextMetrics} from './text_metrics.ts';

test('formatText() formats each metric that was recorded', async () => {
  const metrics = createTextMetrics();
  metrics.count('requests', 1, {outcome: 'answered'});
  metrics.count('requests', 2, {outcome: 'answered'});
  metrics.gauge('open', 3);
  metrics.record('request_ms', 120, {route: 'letters'});
  const lines = (await metrics.formatText()).split('\n');
  const has = (line: string) => assert.ok(lines.includes(line), line);
  has('parsleypond_requests{outcome="answered"} 3');
  has('parsleypond_open 3');
  has('parsleypond_request_ms_bucket{le="200",route="letters"} 1');
  has('parsleypond_request_ms_bucket{le="100",route="letters"} 0');
});

test('gauge() withdraws the value of some tags', async () => {
  const metrics = createTextMetrics();
  metrics.gauge('lag', 1, {spare: 'a'});
  metrics.gauge('lag', 2, {spare: 'b'});
  metrics.gauge('lag', NaN, {spare: 'a'});
  const text = await metrics.formatText();
  assert.ok(!text.includes('spare="a"'), text);
  assert.ok(text.includes('parsleypond_lag{spare="b"} 2'), text);
});

test.run();
