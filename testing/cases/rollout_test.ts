/**
 * A low-rated version is withdrawn: gated customers never receive its answers,
 * even if the leader dies, and ungated customers receive only a few.
 */
import OpenAI from 'openai';
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {TestProcess} from '../system/child_process.ts';
import {allocateLoopback} from '../system/loopback.ts';
import {hashKey, System, waitFor} from '../system/system.ts';

const KEY = 'key-of-desk';

const place = {region: 'plovdiv', dataCentre: 'plovdiv-a'};

const HOSTS = ['a1', 'a2', 'a3'];

/** The most answers of the bad version that ungated callers may get. */
const EXPOSURE_LIMIT = 30;

/** Rounds of requests; the roll-out should be halted before the last. */
const ROUNDS = 60;

const CONCURRENT_REQUESTS = 10;

function createDeclaration(exposure: string, share: number) {
  const version = {model: 'draft', pool: 'drafting', prompt_price: 1};
  return {
    version: 1,
    pools: [{name: 'drafting'}],
    versions: [
      {...version, name: 'v1', completion_price: 2, expected_quality: 0.9},
      {...version, name: 'v2', completion_price: 1, expected_quality: 0.9},
    ],
    rollouts: [{model: 'draft', version: 'v2', stable: 'v1', stages: [share]}],
    customers: [
      {
        name: 'desk',
        key_sha256: hashKey(KEY),
        versions: ['draft/*'],
        targets: [{quality: 0.8, first_token_ms: 5_000}],
        exposure,
      },
    ],
  };
}

interface Fixture extends AsyncDisposable {
  readonly system: System;
  /** Sends a request; returns the version that answered. */
  readonly ask: (number: number) => Promise<string>;
}

async function startFixture(exposure: string, share: number): Promise<Fixture> {
  const rating = startRating();
  try {
    return await startSystem(rating, createDeclaration(exposure, share));
  } catch (error) {
    await rating.process.kill();
    throw error;
  }
}

interface Rating {
  readonly process: TestProcess;
  readonly address: string;
}

/** Starts a rating service that gives v2 a low score. */
function startRating(): Rating {
  const address = `${allocateLoopback()}:9100`;
  const scores = {'draft/v1': 0.95, 'draft/v2': 0.1};
  const process = new TestProcess('rating', [
    globalThis.process.execPath,
    'dist/stand_ins/rating.cjs',
    JSON.stringify({address, scores, delayMs: 5}),
  ]);
  process.start();
  return {process, address};
}

async function startSystem(
  rating: Rating,
  declaration: Record<string, unknown>,
): Promise<Fixture> {
  const system = await System.start({
    hosts: HOSTS.map(name => ({name, ...place, disk: true})),
    endpoints: ['e1', 'e2'].map(name => ({
      name,
      kind: 'engine' as const,
      ...place,
      pool: 'drafting',
      versions: ['draft/v1', 'draft/v2'],
      announceTo: HOSTS.slice(0, 2),
    })),
    settings: {rating: {address: rating.address}},
  });
  await system.waitForAllHosts();
  const applied = await system.apply('a1', declaration);
  assert.is(applied.code, 0, applied.output + applied.errors);
  await waitFor('the engines are known', async () => {
    return (await system.readStatus('a1')).endpoints.length === 2;
  });
  const client = new OpenAI({
    apiKey: KEY,
    baseURL: `http://${system.getPublicAddress('a1')}/v1`,
    maxRetries: 5,
  });
  const ask = async (number: number) => {
    const answer = await client.chat.completions.create({
      model: 'draft',
      messages: [{role: 'user', content: `letter ${number}`}],
    });
    return answer.model;
  };
  return {
    system,
    ask,
    async [Symbol.asyncDispose]() {
      await system[Symbol.asyncDispose]();
      await rating.process.kill();
    },
  };
}

async function isWithdrawn(system: System): Promise<boolean> {
  const status = await system.runCommand('a1', ['status']);
  const {rollouts} = JSON.parse(status.output) as {
    rollouts: Array<{status: string}>;
  };
  return rollouts[0]?.status === 'withdrawn';
}

test('gated customers get no bad version though the leader dies', async () => {
  await using fixture = await startFixture('gated', 1);
  const {system, ask} = fixture;
  const versions = [await ask(0)];
  const leader = await system.findLeader();
  if (leader !== 'a1') await system.daemons.get(leader)?.kill();
  for (let number = 1; number < 30; number++) versions.push(await ask(number));
  assert.is(versions.filter(each => each === 'draft/v2').length, 0);
  await waitFor('v2 is withdrawn', () => isWithdrawn(system));
});

test('a bad version is withdrawn after few ungated answers', async () => {
  await using fixture = await startFixture('direct', 0.05);
  const {system, ask} = fixture;
  let exposed = 0;
  for (let round = 0; round < ROUNDS; round++) {
    const numbers = Array.from(
      {length: CONCURRENT_REQUESTS},
      (_, index) => round * CONCURRENT_REQUESTS + index,
    );
    const versions = await Promise.all(numbers.map(ask));
    exposed += versions.filter(each => each === 'draft/v2').length;
    if (round % 10 === 9 && (await isWithdrawn(system))) break;
  }
  assert.ok(await isWithdrawn(system), 'v2 was not withdrawn');
  assert.ok(exposed <= EXPOSURE_LIMIT, `${exposed} answers came from v2`);
  assert.ok(exposed > 0, 'no request was routed to v2');
});

test.run();
