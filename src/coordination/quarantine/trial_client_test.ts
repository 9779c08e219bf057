import assert from 'node:assert/strict';
import {test} from 'uvu';
import {silentLogger} from '../../protocol/logger.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import type {TrialReply} from '../../protocol/suspect.ts';
import {createTrialClient} from './trial_client.ts';

const CORES = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const REQUEST = {
  service: 'model',
  parts: ['part'],
  identity: null,
  suspects: [],
};

/** A client of core daemons, some of which are lost. */
class TrialFixture {
  readonly clock = new SimulatedClock();
  readonly lost = new Set<string>();
  asked: string[] = [];
  private readonly client = createTrialClient({
    clock: this.clock,
    logger: silentLogger,
    listCores: () => CORES,
    getService: address => ({
      requestTrial: async (_request, timeoutMs): Promise<TrialReply> => {
        this.asked.push(address);
        if (!this.lost.has(address)) return {isGranted: true, suspects: []};
        await this.clock.sleep(timeoutMs);
        throw new Error('Timed out');
      },
      finishTrial: async () => ({}),
    }),
  });

  async request(): Promise<{reply: TrialReply | null; asked: string[]}> {
    this.asked = [];
    let reply: TrialReply | null = null;
    void this.client.request(REQUEST).then(value => (reply = value));
    await this.clock.advance(600);
    return {reply, asked: this.asked};
  }
}

test('request() asks one daemon, always the same', async () => {
  const fixture = new TrialFixture();
  const {asked: first} = await fixture.request();
  const {asked: second} = await fixture.request();
  assert.equal(first.length, 1);
  assert.deepEqual(second, first);
});

// Guards against suspected parts that get no trial as long as the core lists the
// two lost daemons that come first for their service.
test('request() passes over daemons that did not answer', async () => {
  const fixture = new TrialFixture();
  for (let round = 0; round < 2; round++) {
    const {asked} = await fixture.request();
    fixture.lost.add(asked.at(-1) ?? '');
  }
  await fixture.clock.advance(10_000);
  const first = await fixture.request();
  assert.equal(first.reply, null);
  const second = await fixture.request();
  assert.ok(second.reply);
  assert.equal(second.asked.length, 1);
});

test('request() returns to a daemon that answers again', async () => {
  const fixture = new TrialFixture();
  const {asked: usual} = await fixture.request();
  fixture.lost.add(usual[0] ?? '');
  await fixture.request();
  fixture.lost.clear();
  await fixture.clock.advance(5_000);
  const {asked} = await fixture.request();
  assert.deepEqual(asked, usual);
});

test.run();
