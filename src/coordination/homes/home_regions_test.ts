/** Guards against misspelt regions that nobody notices, and costs without homes. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {silentLogger, type LogFields} from '../../protocol/logger.ts';
import {silentMetrics} from '../../protocol/metrics.ts';
import {createCall} from '../forwarding/call_fakes.ts';
import {CallRun} from '../forwarding/call_run.ts';
import {
  createEndpoint,
  createRoute,
  createTable,
} from '../forwarding/forwarding_fakes.ts';
import {RouteIndex} from '../gateway/route_index.ts';
import {HomeRegions} from './home_regions.ts';

function createHomes(routes: RouteIndex | null = null) {
  const lines: LogFields[] = [];
  const gauges: number[] = [];
  const homes = new HomeRegions({
    logger: {
      ...silentLogger,
      warn: (_message, fields = {}) => lines.push(fields),
    },
    metrics: {...silentMetrics, gauge: (_name, value) => gauges.push(value)},
    view: {routes},
    findRegion: name => (name === 'a' ? 'north' : null),
    listRegions: () => ['north'],
  });
  return {homes, lines, gauges};
}

function createRun(route = createRoute()): CallRun {
  return new CallRun({
    call: createCall('a1', {}),
    route,
    service: {name: 'app', maxConnections: 1, engine: null},
    customer: null,
    caller: null,
    deadline: 1_000,
    isRepeatable: true,
  });
}

test('checkTable() logs the unknown regions of a table once', () => {
  const {homes, lines, gauges} = createHomes();
  const route = createRoute({allowedRegions: ['north', 'nroth']});
  const customer = {name: 'c', keys: ['k'], priority: null};
  homes.checkTable(
    createTable(route, {customers: [{...customer, allowedRegions: ['nroth']}]}),
  );
  homes.checkTable(createTable(createRoute({allowedRegions: ['north']})));
  assert.deepEqual(lines, [{version: 1, regions: ['nroth'], count: 1}]);
  assert.deepEqual(gauges, [1, 0]);
});

// Guards against requests that go to a data centre whose region nobody knows.
test('isAllowed() takes an unknown region for none of the homes', () => {
  const bound = createRoute({allowedRegions: ['north']});
  const {homes} = createHomes(new RouteIndex(createTable(bound)));
  const run = createRun(bound);
  const allows = (dataCentre: string) =>
    homes.isAllowed(run, createEndpoint('e', {dataCentre}));
  assert.deepEqual([allows('a'), allows('b')], [true, false]);
});

// Guards against look-ups on the request path of sites without home regions.
test('find() looks nothing up in a table without home regions', () => {
  const routes = new RouteIndex(createTable(createRoute()));
  let lookups = 0;
  routes.findRoute = () => {
    lookups++;
    return null;
  };
  const {homes} = createHomes(routes);
  assert.equal(homes.find(createRun()), null);
  assert.equal(lookups, 0);
});

test.run();
