/**
 * Starts a system with one host and stand-in engines, sends a request and
 * prints the answer, the logged decision and the bill. Runs until Ctrl-C.
 */
import OpenAI from 'openai';
import {hashKey, System, waitFor} from '../../testing/system/system.ts';

const CUSTOMER_KEY = 'demo-key';

const HOST = 'demo-1';

const place = {region: 'plovdiv', dataCentre: 'plovdiv-a'};

const version = {model: 'draft', pool: 'drafting'};

const declaration = {
  version: 1,
  pools: [{name: 'drafting'}],
  versions: [
    {
      ...version,
      name: 'small-1',
      prompt_price: 15,
      completion_price: 60,
      expected_quality: 0.86,
    },
    {
      ...version,
      name: 'large-1',
      prompt_price: 100,
      completion_price: 400,
      expected_quality: 0.95,
    },
  ],
  customers: [
    {
      name: 'demo',
      key_sha256: hashKey(CUSTOMER_KEY),
      versions: ['draft/*'],
      targets: [{quality: 0.8}],
    },
  ],
};

/** Starts the processes: one daemon and two engines. */
function startSystem(): Promise<System> {
  return System.start({
    hosts: [{name: HOST, ...place, disk: true}],
    endpoints: ['engine-1', 'engine-2'].map(name => ({
      name,
      kind: 'engine' as const,
      ...place,
      pool: 'drafting',
      versions: ['draft/small-1', 'draft/large-1'],
      announceTo: [HOST],
    })),
    settings: {log: {level: 'info', format: 'text'}},
  });
}

/** Sends one request and prints its answer, decision and bill. */
async function showRequest(system: System): Promise<void> {
  const client = new OpenAI({
    apiKey: CUSTOMER_KEY,
    baseURL: `http://${system.getPublicAddress(HOST)}/v1`,
  });
  const content = 'Please draft an apology for the brown tap water.';
  console.log(`Request: ${content}`);
  const answer = await client.chat.completions.create({
    model: 'draft',
    messages: [{role: 'user', content}],
  });
  console.log(`Answer:  ${answer.choices[0]?.message.content}`);
  const log = system.daemons.get(HOST)?.log ?? [];
  const line = log.find(each => each.includes(answer.id));
  console.log(`Log:     ${line ?? '(no decision was logged)'}`);
  const bills = await system.readBills(HOST);
  console.log(`Bill:    ${JSON.stringify(bills[0])}`);
}

async function main(): Promise<void> {
  const system = await startSystem();
  const ended = new Promise<void>(resolve => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });
  try {
    await system.waitForAllHosts();
    const applied = await system.apply(HOST, declaration);
    if (applied.code !== 0) throw new Error(applied.errors || applied.output);
    await waitFor('both engines are discovered', async () => {
      return (await system.readStatus(HOST)).endpoints.length === 2;
    });
    await showRequest(system);
    const address = system.getPublicAddress(HOST);
    console.log(`\nThe system stays up at http://${address}/v1 with the key`);
    console.log(`"${CUSTOMER_KEY}". Press Ctrl-C to end it.`);
    await ended;
    await system.daemons.get(HOST)?.stop();
  } finally {
    await system[Symbol.asyncDispose]();
  }
}

await main();
