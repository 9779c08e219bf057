/**
 * Guards against callers with odd heads and framing that end a daemon of the product's
 * own interface or take all of its memory: with a real process.
 */
import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {
  ENDLESS_PARTS,
  LINE_KINDS,
  sendChunkExtensions,
  sendEmptyLines,
  sendEndlessHead,
  sendManyLines,
  sendManyLinesAndOpenBody,
  sendTrailers,
} from '../callers/odd_heads.ts';
import {openCrowds, type Sending} from '../callers/rough_callers.ts';
import {System} from '../system/system.ts';

/** What the settings say of the host. */
const HOST_MEMORY_MIB = 200;

const ENDLESS_BYTES = 64 * 1024 * 1024;

/** How long a crowd sends, and then stays as it is, in ms. */
const SEND_WITHIN_MS = 6_000;
const HOLD_MS = 1_000;

const PLAYS: Readonly<
  Record<string, {connections: number; sendings: readonly Sending[]}>
> = {
  'many header lines ahead of answers': {
    connections: 10,
    sendings: LINE_KINDS.map(kind => sendManyLines(kind, 400)),
  },
  'many header lines before open bodies': {
    connections: 100,
    sendings: LINE_KINDS.map(sendManyLinesAndOpenBody),
  },
  'heads, empty lines, trailers and chunk extensions without end': {
    connections: 5,
    sendings: [
      ...ENDLESS_PARTS.map(part => sendEndlessHead(part, ENDLESS_BYTES)),
      sendEmptyLines(ENDLESS_BYTES),
      sendEmptyLines(ENDLESS_BYTES, {afterRequest: true}),
      sendTrailers('distinct', ENDLESS_BYTES),
      sendChunkExtensions(10_000, 10_000),
    ],
  },
};

/** Reads the most memory that a process has taken, in MiB. */
function readPeakMib(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Math.round(Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) / 1024);
}

for (const [name, {connections, sendings}] of Object.entries(PLAYS)) {
  test(`a daemon bears ${name}`, async () => {
    await using system = await System.start({
      hosts: [
        {name: 'a1', region: 'plovdiv', dataCentre: 'plovdiv-a', disk: true},
      ],
      endpoints: [],
      settings: {host: {memory_mib: HOST_MEMORY_MIB}},
    });
    await system.waitForAllHosts();
    const pid = system.daemons.get('a1')?.pid ?? 0;
    const idleMib = readPeakMib(pid);
    const places = [
      {address: system.getPublicAddress('a1'), path: '/v1/chat/completions'},
      {address: system.getPeerAddress('a1'), path: '/'},
    ];
    using crowd = await openCrowds(
      places.flatMap(place =>
        sendings.map(send => ({...place, connections, send})),
      ),
      {withinMs: SEND_WITHIN_MS},
    );
    await sleep(HOLD_MS);
    const {openCount} = crowd;
    console.log(
      JSON.stringify({name, idleMib, peakMib: readPeakMib(pid), openCount}),
    );
    await system.waitForHost('a1');
    assert.is(system.daemons.get('a1')?.pid, pid);
    assert.ok(readPeakMib(pid) <= HOST_MEMORY_MIB);
  });
}

test.run();
