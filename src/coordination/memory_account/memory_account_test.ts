import assert from 'node:assert/strict';
import {test} from 'uvu';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {createDraws, type Draws} from '../../protocol/seeded_draws.ts';
import {MemoryAccount, type MemoryHolder} from './memory_account.ts';

const KIB = 1024;
const MIB = 1024 * KIB;

const HISTORIES = Number(process.env['MEMORY_HISTORIES'] ?? 30);
const FROM = Number(process.env['MEMORY_FROM'] ?? 1);

const BUDGET_BYTES = 26 * MIB;
const SHARE_BYTES = 6 * MIB;
const ANSWER_BYTES = 8 * MIB;
const CALLERS = 2_000;
const STEP_MS = 100;
const ORDINARY_BYTES = 20 * KIB;

type CallerKind =
  'ordinary' | 'upload' | 'stalling' | 'trickling' | 'answer' | 'idle';

/** One caller in a history, and what it believes to hold. */
interface Caller {
  readonly kind: CallerKind;
  readonly holder: MemoryHolder;
  readonly targetBytes: number;
  held: number;
  state: 'open' | 'promised' | 'refused' | 'evicted' | 'done';
  endsAtMs: number;
}

class History {
  readonly clock = new SimulatedClock();
  readonly account = new MemoryAccount({
    clock: this.clock,
    budgetBytes: BUDGET_BYTES,
    shareBytes: SHARE_BYTES,
    kindBytes: {answer: ANSWER_BYTES},
  });
  readonly callers = new Set<Caller>();
  readonly counts = new Map<string, number>();
  private readonly owners = Array.from({length: 300}, () => ({}));

  constructor(private readonly draws: Draws) {}

  start(): Caller {
    const {draws} = this;
    const kind = this.drawKind();
    const target: Record<CallerKind, () => number> = {
      ordinary: () => draws.between(1, ORDINARY_BYTES),
      upload: () => draws.between(MIB, 4 * MIB),
      stalling: () => draws.log(KIB, 8 * MIB),
      trickling: () => 4 * MIB,
      answer: () => draws.log(KIB, 4 * MIB),
      idle: () => 12 * KIB,
    };
    const owner = this.owners[draws.between(0, this.owners.length - 1)];
    const isRough = kind === 'stalling' || kind === 'trickling';
    const caller: Caller = {
      kind,
      targetBytes: Math.floor(target[kind]()),
      held: 0,
      state: 'open',
      endsAtMs: Infinity,
      holder: this.account.open({
        kind:
          kind === 'answer'
            ? 'answer'
            : kind === 'idle'
              ? 'connection'
              : 'body',
        eviction: kind === 'answer' ? 'last' : 'first',
        name: kind,
        ...(isRough && owner ? {owner} : {}),
        evict: () => {
          assert.equal(
            caller.state,
            'open',
            `a ${caller.state} one is evicted`,
          );
          this.end(caller, 'evicted');
        },
      }),
    };
    this.callers.add(caller);
    return caller;
  }

  /** Lets a caller go on by one step. */
  step(caller: Caller, now: number): void {
    if (caller.state === 'promised') {
      if (now >= caller.endsAtMs) this.end(caller, 'done');
      return;
    }
    const left = caller.targetBytes - caller.held;
    if (left > 0) return this.grow(caller, left);
    switch (caller.kind) {
      case 'ordinary':
      case 'upload':
        caller.holder.setEviction('never');
        caller.state = 'promised';
        caller.endsAtMs = now + this.draws.log(10, 3_000);
        return;
      case 'answer':
        return this.end(caller, 'done');
      default:
        // Rough callers stay open, and ordinary connections for a while.
        if (this.draws.next() < 0.01) this.end(caller, 'done');
    }
  }

  check(): void {
    let sum = 0;
    for (const {held, holder, state} of this.callers) {
      assert.equal(holder.bytes, held, `${state}: not what it was promised`);
      sum += held;
    }
    assert.equal(this.account.bytes, sum);
    assert.ok(sum <= BUDGET_BYTES, `${sum} bytes are held`);
    assert.ok(this.account.countBytes('answer') <= ANSWER_BYTES);
  }

  private grow(caller: Caller, left: number): void {
    const {kind, holder} = caller;
    const growth = kind === 'trickling' ? 100 : 64 * KIB;
    const bytes = caller.held + Math.min(left, growth);
    const hadRoom = this.account.hasRoom(bytes);
    const isOrdinary = kind === 'ordinary';
    const hasRough = [...this.callers].some(
      each =>
        each.state === 'open' &&
        each.kind === 'stalling' &&
        each.held > ORDINARY_BYTES * 10,
    );
    if (holder.set(bytes)) {
      holder.addProgress(bytes - caller.held);
      caller.held = bytes;
      return;
    }
    if (isOrdinary && hasRough) {
      assert.ok(!hadRoom, 'an ordinary caller is refused for a rough one');
    }
    this.end(caller, 'refused');
  }

  private end(caller: Caller, state: Caller['state']): void {
    caller.state = state;
    caller.holder.release();
    caller.held = 0;
    this.callers.delete(caller);
    const key = `${caller.kind} ${state}`;
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
  }

  private drawKind(): CallerKind {
    const drawn = this.draws.next();
    if (drawn < 0.4) return 'ordinary';
    if (drawn < 0.45) return 'upload';
    if (drawn < 0.65) return 'stalling';
    if (drawn < 0.8) return 'trickling';
    return drawn < 0.9 ? 'answer' : 'idle';
  }
}

// Guards against a sum beyond the budget, and against requests that are being
// forwarded and lose their memory to callers that came later.
test('MemoryAccount keeps to its budget and its promises', async () => {
  const counts = new Map<string, number>();
  for (let seed = FROM; seed < FROM + HISTORIES; seed++) {
    const draws = createDraws(seed);
    const history = new History(draws);
    let started = 0;
    const perStep = draws.between(2, 20);
    for (let step = 0; started < CALLERS; step++) {
      for (let each = 0; each < perStep; each++) history.start();
      started += perStep;
      const now = step * STEP_MS;
      for (const caller of [...history.callers]) {
        if (history.callers.has(caller)) history.step(caller, now);
      }
      history.account.sweep();
      history.check();
      await history.clock.advance(STEP_MS);
    }
    for (const [key, count] of history.counts) {
      counts.set(key, (counts.get(key) ?? 0) + count);
    }
  }
  if (process.env['MEMORY_HISTORIES']) console.log(Object.fromEntries(counts));
  const evicted = counts.get('ordinary evicted') ?? 0;
  const served = counts.get('ordinary done') ?? 0;
  assert.ok(evicted <= served / 1_000, `${evicted} of ${served} are evicted`);
  assert.ok((counts.get('stalling evicted') ?? 0) > 0, 'the budget is short');
});

// Guards against a stalled body that stays while smaller and newer ones go.
test('MemoryAccount evicts the largest without progress first', async () => {
  const clock = new SimulatedClock();
  const account = new MemoryAccount({clock, budgetBytes: 10 * MIB});
  const evicted: string[] = [];
  const open = (name: string, bytes: number) => {
    const holder = account.open({
      kind: 'body',
      eviction: 'first',
      name,
      evict: () => void evicted.push(name),
    });
    assert.ok(holder.set(bytes));
    return holder;
  };
  open('stalled', 3 * MIB);
  const moving = open('moving', 5 * MIB);
  for (let second = 0; second < 10; second++) {
    await clock.advance(1_000);
    moving.addProgress(MIB);
    account.sweep();
  }
  open('next', 3 * MIB);
  assert.deepEqual(evicted, ['stalled']);
  assert.deepEqual(
    account.listLargest(1).map(({name}) => name),
    ['moving'],
  );
});

// Guards against a request that is refused although its answer has begun.
test('MemoryAccount ends no answer for a request that has not begun', () => {
  const clock = new SimulatedClock();
  const account = new MemoryAccount({clock, budgetBytes: MIB});
  const answer = account.open({
    kind: 'answer',
    eviction: 'last',
    name: 'answer',
    evict: () => assert.fail('the answer was ended'),
  });
  assert.ok(answer.set(MIB));
  assert.ok(!account.hasRoom(1));
  const evict = () => {};
  const options = {kind: 'body', eviction: 'first', name: 'body'} as const;
  assert.equal(account.open({...options, evict}).set(1), false);
  assert.equal(account.bytes, MIB);
  assert.deepEqual([...account.takeRejections()], [['body budget', 1]]);
});

// Guards against pipelined bodies of one connection that take the whole budget.
test('MemoryAccount bounds the share of an owner', () => {
  const clock = new SimulatedClock();
  const account = new MemoryAccount({
    clock,
    budgetBytes: 10 * MIB,
    shareBytes: MIB,
  });
  const owner = {};
  const options = {
    kind: 'body',
    eviction: 'first',
    name: 'body',
    owner,
    evict: () => {},
  } as const;
  const first = account.open(options);
  assert.ok(first.set(MIB));
  assert.equal(account.open(options).set(1), false);
  first.release();
  assert.ok(account.open(options).set(MIB));
  account.ensureFits(3 * MIB);
  assert.ok(account.open(options).set(2 * MIB), 'the largest request');
});

test.run();
