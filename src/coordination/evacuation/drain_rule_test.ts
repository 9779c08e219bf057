/** Guards against requests that reach a data centre after its drain is in force. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {silentLogger} from '../../protocol/logger.ts';
import {silentMetrics} from '../../protocol/metrics.ts';
import {fail} from '../../protocol/outcome.ts';
import {
  createEndpoint,
  createFollowReply,
} from '../forwarding/forwarding_fakes.ts';
import type {CallRun} from '../forwarding/call_run.ts';
import {GatewayView} from '../gateway/gateway_view.ts';
import {EndpointRules} from '../selection/endpoint_rules.ts';
import {createDrainRule} from './drain_rule.ts';

test('createDrainRule() follows drains that change while a request is open', () => {
  const view = new GatewayView({
    logger: silentLogger,
    decodeTable: () => fail('no table'),
  });
  const rules = new EndpointRules([
    createDrainRule({view, metrics: silentMetrics}),
  ]);
  const run = {sends: 1} as CallRun;
  const [a, b] = ['a', 'b'].map(dataCentre =>
    createEndpoint(`e-${dataCentre}`, {dataCentre}),
  );
  assert.ok(a && b);
  const listAllowed = () => [a, b].filter(each => rules.isAllowed(run, each));
  const apply = (revision: number, drained: string[]) =>
    view.apply(
      createFollowReply({
        configuration: {
          ...{revision, version: null, document: null, rollouts: []},
          drained,
        },
      }),
    );
  assert.deepEqual(listAllowed(), [a, b]);
  apply(1, ['a']);
  assert.deepEqual(listAllowed(), [b]);
  // The last look before the first byte, for a connection that opened meanwhile.
  assert.equal(rules.mayBegin(run, a), false);
  apply(2, ['a', 'b']);
  assert.deepEqual(listAllowed(), []);
  apply(3, []);
  assert.equal(rules.mayBegin(run, a), true);
});

test.run();
