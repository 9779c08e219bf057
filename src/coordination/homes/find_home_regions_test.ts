/** Guards against requests that are served outside the regions in force. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {Route, RouteCustomer} from '../../protocol/route_table.ts';
import type {AdmittedCall} from '../forwarding/admit_call.ts';
import {createCall} from '../forwarding/call_fakes.ts';
import {createRoute, createTable} from '../forwarding/forwarding_fakes.ts';
import {RouteIndex} from '../gateway/route_index.ts';
import {findHomeRegions, hasHomeRegions} from './find_home_regions.ts';

const FREE = createRoute();

function createCustomer(change: Partial<RouteCustomer> = {}): RouteCustomer {
  return {name: 'c1', keys: ['k1'], priority: null, ...change};
}

interface AdmitOptions {
  readonly route?: Route;
  readonly customer?: RouteCustomer | null;
  readonly key?: string | null;
}

function admit({route = FREE, customer = null, key = null}: AdmitOptions) {
  return {
    call: createCall('a1', {facts: {key}}),
    route,
    customer,
    caller: customer?.name ?? null,
  } as AdmittedCall;
}

function createIndex(route: Route, customers: readonly RouteCustomer[] = []) {
  return new RouteIndex(createTable(route, {customers}));
}

function list(homes: ReadonlySet<string> | null) {
  return homes && [...homes].sort();
}

test('findHomeRegions() intersects those of the route and the customer', () => {
  const route = createRoute({allowedRegions: ['north', 'south']});
  const customer = createCustomer({allowedRegions: ['south', 'west']});
  const index = createIndex(route, [customer]);
  const find = (key: string | null) =>
    list(findHomeRegions(index, admit({route, key})));
  assert.deepEqual(find('k1'), ['south']);
  assert.deepEqual(find(null), ['north', 'south']);
  const free = createIndex(FREE, [customer]);
  const ofCustomer = findHomeRegions(free, admit({key: 'k1'}));
  assert.deepEqual(list(ofCustomer), ['south', 'west']);
});

// Guards against an intersection without regions that is taken for no restriction.
test('findHomeRegions() finds none where route and customer share none', () => {
  const route = createRoute({allowedRegions: ['north']});
  const customer = createCustomer({allowedRegions: ['south']});
  const index = createIndex(route, [customer]);
  const homes = findHomeRegions(index, admit({route, customer, key: 'k1'}));
  assert.deepEqual(list(homes), []);
});

test('findHomeRegions() takes an empty list for anywhere', () => {
  const route = createRoute({allowedRegions: []});
  const customer = createCustomer({allowedRegions: []});
  const index = createIndex(route, [customer]);
  const homes = findHomeRegions(index, admit({route, customer, key: 'k1'}));
  assert.equal(homes, null);
  assert.equal(hasHomeRegions(index.table), false);
});

// Guards against streams that go on by the regions at their admission.
test('findHomeRegions() follows the table in force', () => {
  const admitted = admit({
    route: createRoute({allowedRegions: ['north']}),
    customer: createCustomer(),
    key: 'k1',
  });
  const moved = createRoute({allowedRegions: ['south']});
  assert.deepEqual(
    list(findHomeRegions(createIndex(moved, [createCustomer()]), admitted)),
    ['south'],
  );
  assert.equal(findHomeRegions(createIndex(FREE, []), admitted), null);
});

// Guards against withdrawn keys and routes whose open requests may go anywhere.
test('findHomeRegions() knows what the table in force lacks', () => {
  const route = createRoute({allowedRegions: ['north', 'south']});
  const customer = createCustomer({allowedRegions: ['north']});
  const admitted = admit({route, customer, key: 'k1'});
  const other = createRoute({name: 'r2', host: 'other.example'});
  assert.deepEqual(list(findHomeRegions(createIndex(other), admitted)), [
    'north',
  ]);
  const renewed = createCustomer({keys: ['k2'], allowedRegions: ['south']});
  assert.deepEqual(
    list(findHomeRegions(createIndex(route, [renewed]), admitted)),
    ['south'],
  );
});

test.run();
