import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {EndpointReport} from '../../protocol/endpoint_report.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {EndpointRegistry} from '../core/endpoint_registry.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import {SavedEndpoints, type ChangeJournal} from './saved_endpoints.ts';

/** How long a write takes, in ms. */
const WRITE_MS = 2;

/** A journal whose writes take a while, and fail on request. */
class FakeJournal implements ChangeJournal {
  readonly appended: string[][] = [];
  content: string[] = [];
  isBroken = false;
  cleared = 0;

  constructor(private readonly clock: SimulatedClock) {}

  get isEmpty(): boolean {
    return this.content.length === 0;
  }

  async append(reports: readonly EndpointReport[]): Promise<boolean> {
    await this.clock.sleep(WRITE_MS);
    if (this.isBroken) return false;
    const ids = reports.map(({id}) => id);
    this.appended.push(ids);
    this.content.push(...ids);
    return true;
  }

  async clear(): Promise<boolean> {
    await this.clock.sleep(WRITE_MS);
    this.content = [];
    this.cleared++;
    return true;
  }
}

function createSaved() {
  const clock = new SimulatedClock();
  const endpoints = new EndpointRegistry({clock});
  const journal = new FakeJournal(clock);
  const saved = new SavedEndpoints({clock, endpoints, journal});
  const leave = (id: string) => {
    endpoints.record(createEndpoint(id, {address: id, state: 'gone'}));
    saved.saveSoon();
  };
  return {clock, endpoints, journal, saved, leave};
}

// Guards against a herd of endpoints that leave, each of which costs a sync.
test('departures that come during a write share the next one', async () => {
  const {clock, endpoints, journal, saved, leave} = createSaved();
  leave('first');
  await clock.advance(WRITE_MS / 2);
  for (let index = 0; index < 100; index++) leave(`e${index}`);
  assert.equal(saved.revision, 0);
  await clock.advance(WRITE_MS);
  assert.equal(saved.revision, 1);
  await clock.advance(WRITE_MS);
  assert.equal(saved.revision, endpoints.revision);
  assert.deepEqual(
    journal.appended.map(({length}) => length),
    [1, 100],
  );
});

// Guards against replies that wait for their time-out though the disk holds all.
test('saveSoon() wakes who waits, and writes nothing twice', async () => {
  const {clock, journal, saved, leave} = createSaved();
  let isNotified = false;
  void saved.saves.wait(1_000).then(() => (isNotified = true));
  leave('e1');
  await clock.advance(WRITE_MS);
  assert.ok(isNotified);
  saved.saveSoon();
  await clock.advance(WRITE_MS);
  assert.equal(journal.appended.length, 1);
});

// Guards against departures that count as saved though the write failed.
test('a failed write saves nothing, and the next one all', async () => {
  const {clock, endpoints, journal, saved, leave} = createSaved();
  journal.isBroken = true;
  leave('e1');
  await clock.advance(10);
  assert.equal(saved.revision, 0);
  journal.isBroken = false;
  leave('e2');
  await clock.advance(10);
  assert.equal(saved.revision, endpoints.revision);
  assert.deepEqual(journal.appended, [['e1', 'e2']]);
});

// Guards against a journal that is emptied of what no saved view has.
test('a saved view empties the journal once it has all of it', async () => {
  const {clock, endpoints, journal, saved, leave} = createSaved();
  leave('e1');
  await clock.advance(WRITE_MS);
  const {revision} = endpoints;
  leave('e2');
  await clock.advance(WRITE_MS / 2);
  saved.recordView(revision);
  await clock.advance(10);
  assert.deepEqual(journal.content, ['e1', 'e2']);
  saved.recordView(endpoints.revision);
  await clock.advance(10);
  assert.deepEqual(journal.content, []);
  assert.equal(journal.cleared, 1);
});

// Guards against a write for each departure that a saved view has already.
test('a saved view saves changes without a journal', async () => {
  const {clock, endpoints, journal, saved} = createSaved();
  endpoints.record(createEndpoint('e1'));
  saved.recordView(endpoints.revision);
  saved.saveSoon();
  await clock.advance(10);
  assert.equal(saved.revision, endpoints.revision);
  assert.deepEqual(journal.appended, []);
  assert.equal(journal.cleared, 0);
});

test.run();
