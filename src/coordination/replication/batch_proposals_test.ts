import {test} from 'uvu';
import * as assert from 'uvu/assert';
import type {ProposeReply} from '../../protocol/peer_service.ts';
import {batchProposals} from './batch_proposals.ts';

test('batchProposals() shares a call and resolves each proposal', async () => {
  const calls: number[] = [];
  const propose = batchProposals(async (_replica, {commands}) => {
    calls.push(commands.length);
    return commands.map((command): ProposeReply => ({
      type: 'committed',
      result: command,
    }));
  });
  const replies = await Promise.all(
    [1, 2, 3].map(command => propose('a', {group: 'g', command}, 100)),
  );
  assert.equal(calls, [3]);
  assert.equal(
    replies.map(each => each.type === 'committed' && each.result),
    [1, 2, 3],
  );
});

test('batchProposals() does not mix replicas or groups', async () => {
  const calls: string[] = [];
  const propose = batchProposals(async (replica, {group, commands}) => {
    calls.push(`${replica}/${group}`);
    if (replica === 'silent') throw new Error('timed out');
    return commands.map((): ProposeReply => ({type: 'committed'}));
  });
  const silent = propose('silent', {group: 'g', command: 1}, 100).catch(
    () => 'rejected',
  );
  const good = propose('a', {group: 'g', command: 1}, 100);
  const other = propose('a', {group: 'h', command: 1}, 100);
  assert.is((await good).type, 'committed');
  assert.is((await other).type, 'committed');
  assert.is(await silent, 'rejected');
  assert.equal(calls.sort(), ['a/g', 'a/h', 'silent/g']);
});

test('batchProposals() sends queued commands when a call ends', async () => {
  const waiting: Array<() => void> = [];
  let sent = 0;
  const propose = batchProposals(async (_replica, {commands}) => {
    sent++;
    await new Promise<void>(resolve => waiting.push(resolve));
    return commands.map((): ProposeReply => ({type: 'committed'}));
  });
  const turn = () => new Promise(resolve => setImmediate(resolve));
  const replies: Array<Promise<ProposeReply>> = [];
  for (let command = 0; command < 6; command++) {
    replies.push(propose('a', {group: 'g', command}, 100));
    await turn();
  }
  assert.is(sent, 4);
  while (waiting.length > 0) {
    waiting.shift()?.();
    await turn();
  }
  await Promise.all(replies);
  assert.is(sent, 5);
});

test.run();
