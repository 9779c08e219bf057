/** Guards against a pace without an overload, and against one that outlasts it. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {ServicePace} from './service_pace.ts';

test('single requests without room do not begin a pace', () => {
  const pace = new ServicePace();
  for (let ms = 0; ms < 10_000; ms += 20) {
    pace.record(ms % 1_000 === 0 ? 'refused' : 'accepted', ms);
    pace.update(ms, 50);
  }
  assert.ok(!pace.isPressed);
});

test('the pace follows what is accepted under overload', () => {
  const pace = new ServicePace();
  // 100 requests per second are accepted, as many find no room.
  for (let ms = 0; ms < 5_000; ms += 10) {
    pace.record('accepted', ms);
    pace.record('refused', ms);
    pace.update(ms, 200);
  }
  assert.ok(pace.perSecond > 90 && pace.perSecond < 120, `${pace.perSecond}`);
});

test('late answers lower the pace although endpoints accept them', () => {
  const pace = new ServicePace();
  for (let ms = 0; ms < 3_000; ms += 10) {
    pace.record('late', ms);
    pace.update(ms, 100);
  }
  assert.ok(pace.perSecond < 50, `${pace.perSecond}`);
});

test('the pace ends within 5 s once all requests find room', () => {
  const pace = new ServicePace();
  for (let ms = 0; ms < 2_000; ms += 10) pace.record('refused', ms);
  assert.ok(pace.isPressed);
  let acceptedAt = 2_000;
  for (let ms = 2_000; ms < 7_000; ms += 10) {
    if (ms - acceptedAt >= 1_000 / pace.perSecond) {
      pace.record('accepted', ms);
      acceptedAt = ms;
    }
    pace.update(ms, 20);
  }
  assert.ok(!pace.isPressed, `${pace.perSecond} per second`);
});

test.run();
