import assert from 'node:assert/strict';
import {test} from 'uvu';
import {fail} from '../../protocol/outcome.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {
  createEndpoint,
  createFollowReply,
} from '../forwarding/forwarding_fakes.ts';
import {GatewayView} from './gateway_view.ts';

test('getOtherLoad() reads 0 ms if an earlier version omits readingMs', () => {
  const view = new GatewayView({
    logger: silentLogger,
    decodeTable: () => fail('no table'),
  });
  view.apply(
    createFollowReply({
      loads: [
        {id: 'e1', open: 2},
        {id: 'e2', open: 1, readingMs: 40},
      ],
    }),
  );
  assert.deepEqual(view.getOtherLoad('e1'), {id: 'e1', open: 2, readingMs: 0});
  assert.equal(view.getOtherLoad('e2').readingMs, 40);
  assert.equal(view.getOtherLoad('e3').open, 0);
});

// Guards against a gateway that forgets all endpoints because a core daemon with
// an empty disk, cut off from the others since its start, knows none.
test('apply() removes endpoints only on the word of a fresh daemon', () => {
  const view = new GatewayView({
    logger: silentLogger,
    decodeTable: () => fail('no table'),
  });
  const endpoint = {...createEndpoint('e1'), silent: false};
  view.apply(createFollowReply({endpoints: [endpoint]}));
  const empty = {complete: true, settled: true, endpoints: []};
  view.apply(createFollowReply({...empty, fresh: false}));
  assert.ok(view.findEndpoint('e1'));
  view.apply(createFollowReply({...empty, fresh: true}));
  assert.equal(view.findEndpoint('e1'), null);
});

test.run();
