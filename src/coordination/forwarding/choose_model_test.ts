/**
 * Guards against late answers during a burst that escalates more requests than
 * the larger models can serve in time.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {chooseModel, EscalationThreshold} from './choose_model.ts';

const OBJECTIVE_MS = 2_000;

/** Records escalations that begin `firstMs` after they were opened. */
async function recordAnswers(
  threshold: EscalationThreshold,
  clock: SimulatedClock,
  firstMs: number,
): Promise<void> {
  const escalations = Array.from({length: 20}, () =>
    threshold.open(OBJECTIVE_MS),
  );
  await clock.advance(firstMs);
  for (const escalation of escalations) escalation.begin();
}

test('chooseModel() returns the smallest model first and the largest on escalation', () => {
  const models = ['small', 'middle', 'large'];
  assert.equal(chooseModel(models, {asksLargest: false}), 'small');
  assert.equal(chooseModel(models, {asksLargest: true}), 'large');
  assert.equal(chooseModel([], {asksLargest: true}), null);
});

test('isBelow() accepts answers of lower confidence while larger models are slow', async () => {
  const clock = new SimulatedClock();
  const threshold = new EscalationThreshold(clock);
  assert.equal(threshold.isBelow(40), true);
  await recordAnswers(threshold, clock, 900);
  assert.equal(threshold.isBelow(40), false);
  assert.equal(threshold.isBelow(5), true);
  await recordAnswers(threshold, clock, 3_000);
  assert.equal(threshold.isBelow(0), false);
});

test('isBelow() counts escalations that have not begun', async () => {
  const clock = new SimulatedClock();
  const threshold = new EscalationThreshold(clock);
  using _escalation = threshold.open(OBJECTIVE_MS);
  await clock.advance(1_300);
  assert.equal(threshold.isBelow(0), false);
});

test('isBelow() escalates again some seconds after a burst', async () => {
  const clock = new SimulatedClock();
  const threshold = new EscalationThreshold(clock);
  await recordAnswers(threshold, clock, 2_500);
  assert.equal(threshold.isBelow(30), false);
  await clock.advance(8_000);
  assert.equal(threshold.isBelow(30), true);
});

/**
 * One engine that can serve 150 escalations in the time, and 600 requests, of
 * which 288 are below the threshold at its highest.
 */
test('a burst is served in time: the threshold falls until the queue is short', async () => {
  const clock = new SimulatedClock();
  const threshold = new EscalationThreshold(clock);
  const workMs = 200;
  let freeAt = 0;
  let late = 0;
  let escalated = 0;
  for (let count = 0; count < 600; count++) {
    await clock.advance(50);
    if (!threshold.isBelow((count * 37) % 100)) continue;
    escalated++;
    const now = clock.monotonic();
    freeAt = Math.max(freeAt, now) + workMs;
    if (freeAt - now > OBJECTIVE_MS) late++;
    const escalation = threshold.open(OBJECTIVE_MS);
    void clock.sleep(freeAt - now).then(() => escalation.begin());
  }
  assert.ok(escalated > 120, `${escalated} were escalated`);
  assert.ok(late / escalated < 0.1, `${late} of ${escalated} were late`);
});

test.run();
