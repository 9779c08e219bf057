import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import {test} from 'uvu';
import {silentLogger} from '../../protocol/logger.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {guardGateway, type ErrorSource} from './guard_gateway.ts';

function startGuard() {
  const clock = new SimulatedClock();
  const emitter = new EventEmitter();
  const lines: string[] = [];
  let abortCount = 0;
  const guard = guardGateway({
    source: emitter as ErrorSource,
    clock,
    logger: {...silentLogger, error: message => void lines.push(message)},
    abort: () => abortCount++,
  });
  return {
    clock,
    guard,
    lines,
    fail: (error: unknown) => emitter.emit('uncaughtException', error),
    countAborts: () => abortCount,
  };
}

test('guardGateway() logs an uncaught error and continues', () => {
  const {lines, fail, countAborts} = startGuard();
  assert.ok(fail(new Error('planted')));
  // Anything can be thrown.
  for (const error of [undefined, null, 'text', {}]) fail(error);
  assert.equal(lines.length, 5);
  assert.equal(countAborts(), 0);
});

test('guardGateway() aborts after too many errors within the window', () => {
  const {fail, countAborts} = startGuard();
  for (let error = 0; error < 20; error++) fail(new Error('planted'));
  assert.equal(countAborts(), 1);
});

test('guardGateway() does not abort on occasional errors', async () => {
  const {clock, fail, countAborts} = startGuard();
  for (let error = 0; error < 100; error++) {
    fail(new Error('planted'));
    await clock.advance(1_000);
  }
  assert.equal(countAborts(), 0);
});

test('guardGateway() stops handling errors when disposed of', () => {
  const {guard, fail} = startGuard();
  guard[Symbol.dispose]();
  assert.equal(fail(new Error('planted')), false);
});

test.run();
