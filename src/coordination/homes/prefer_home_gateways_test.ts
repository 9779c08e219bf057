/** Guards against callers directed to gateways outside the home regions of a host. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {succeed} from '../../protocol/outcome.ts';
import {silentMetrics} from '../../protocol/metrics.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {createRoute, createTable} from '../forwarding/forwarding_fakes.ts';
import {GatewayNames} from '../host_capacity/gateway_names.ts';
import {createTableReader, preferHomeGateways} from './prefer_home_gateways.ts';

const GATEWAYS = ['north', 'south', 'west'].map(region => ({
  address: region,
  region,
  dataCentre: `${region}1`,
  open: true,
}));

/** Lists the gateways preferred for a host whose routes have these regions. */
function prefer(...homes: ReadonlyArray<readonly string[]>) {
  const routes = homes.map((allowedRegions, index) =>
    createRoute({name: `r${index}`, allowedRegions: [...allowedRegions]}),
  );
  const table = {...createTable(createRoute()), routes};
  const preferred = preferHomeGateways(GATEWAYS, table, 'Desk.Example');
  return preferred.map(({address}) => address).join();
}

test('preferHomeGateways() prefers regions that all routes allow', () => {
  assert.equal(prefer([]), 'north,south,west');
  assert.equal(prefer(['south', 'north'], ['south'], []), 'south');
  assert.equal(prefer(['south'], ['west']), 'south,west');
  assert.equal(prefer(['east']), 'north,south,west');
});

test('list() prefers home regions only for callers without a near gateway', () => {
  const table = createTable(createRoute({allowedRegions: ['south']}));
  const names = new GatewayNames({
    clock: new SimulatedClock(),
    metrics: silentMetrics,
    random: () => 0.5,
    listGateways: () => GATEWAYS,
    getTable: () => table,
  });
  const list = (region: string, host = 'desk.example') =>
    names.list({region, dataCentre: `${region}9`, host, address: null}).join();
  assert.equal(list('north'), 'north');
  assert.equal(list('east'), 'south');
  assert.equal(list('east', 'other.example'), 'north,south,west');
});

// Guards against a document that is decoded for each question.
test('createTableReader() decodes each version once', () => {
  let configuration = {revision: 1, version: 1, document: 'a', rollouts: []};
  const decoded: string[] = [];
  const read = createTableReader({
    getConfiguration: () => configuration,
    decodeTable: document => {
      decoded.push(document);
      return succeed(createTable(createRoute()));
    },
  });
  read();
  assert.equal(read()?.routes.length, 1);
  configuration = {...configuration, version: 2, document: 'b'};
  read();
  assert.deepEqual(decoded, ['a', 'b']);
});

test.run();
