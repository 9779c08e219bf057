import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {declarationSchema} from './declaration.ts';
import {digestDeclaration} from './digest_declaration.ts';

function digest(content: unknown): string {
  return digestDeclaration(declarationSchema.parse(content));
}

test('the order of keys and explicit defaults do not change the digest', () => {
  const short = digest({version: 3, pools: [{name: 'desk', queue: 9}]});
  const long = digest({
    pools: [{queue: 9, when_isolated: 'refuse', concurrency: 16, name: 'desk'}],
    customers: [],
    version: 3,
  });
  assert.is(long, short);
});

test('another value or order of items changes the digest', () => {
  const pools = [{name: 'a'}, {name: 'b'}];
  const first = digest({version: 1, pools});
  assert.is.not(digest({version: 1, pools: [...pools].reverse()}), first);
  assert.is.not(digest({version: 1, pools: [{name: 'a'}]}), first);
});

test.run();
