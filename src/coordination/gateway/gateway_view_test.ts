import assert from 'node:assert/strict';
import {test} from 'uvu';
import {fail} from '../../protocol/outcome.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {createFollowReply} from '../forwarding/forwarding_fakes.ts';
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

test.run();
