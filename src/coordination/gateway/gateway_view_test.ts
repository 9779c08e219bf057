import assert from 'node:assert/strict';
import {test} from 'uvu';
import {fail, succeed} from '../../protocol/outcome.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {
  createEndpoint,
  createFollowReply,
  createRoute,
  createTable,
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

// Guards against an older configuration, and an endpoint that left, that come back
// with a reply that was overtaken.
test('apply() takes nothing back for a reply that arrives late', () => {
  const view = new GatewayView({
    logger: silentLogger,
    decodeTable: () => succeed(createTable(createRoute())),
  });
  const configuration = {
    revision: 8,
    version: 2,
    document: '',
    rollouts: [],
  };
  const endpoint = createEndpoint('e1');
  view.apply(
    createFollowReply({
      configuration,
      endpoints: [{...endpoint, state: 'gone'}],
    }),
  );
  view.apply(
    createFollowReply({
      configuration: {...configuration, revision: 7, version: 1},
      endpoints: [endpoint],
    }),
  );
  assert.equal(view.revision, 8);
  assert.equal(view.findEndpoint('e1')?.state, 'gone');
});

// Guards against a gateway that sends to a drained data centre, or that does not
// notice that its endpoints, which may be cold, come back.
test('apply() knows the drained data centres and reports those taken back', () => {
  const restored: string[] = [];
  const view = new GatewayView({
    logger: silentLogger,
    decodeTable: () => fail('no table'),
    onRestored: dataCentres => restored.push(...dataCentres),
  });
  const apply = (revision: number, drained?: string[]) =>
    view.apply(
      createFollowReply({
        configuration: {
          ...{revision, version: null, document: null, rollouts: []},
          ...(drained && {drained}),
        },
      }),
    );
  apply(1, ['a', 'b']);
  assert.equal(view.isDrained('a'), true);
  assert.equal(view.isDrained('c'), false);
  apply(2, ['b']);
  assert.deepEqual(restored, ['a']);
  assert.equal(view.isDrained('a'), false);
  // A reply that arrives late does not drain it again.
  apply(1, ['a', 'b']);
  assert.equal(view.isDrained('a'), false);
  apply(3);
  assert.deepEqual(restored, ['a', 'b']);
});

test.run();
