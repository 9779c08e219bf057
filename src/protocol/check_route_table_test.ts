import assert from 'node:assert/strict';
import {test} from 'uvu';
import {checkRouteTable} from './check_route_table.ts';
import type {Route, RouteTable} from './route_table.ts';

function createRoute(change: Partial<Route> = {}): Route {
  return {
    name: 'r1',
    host: 'desk.example',
    pathPrefix: '/letters/',
    repeatability: 'idempotent',
    resumable: false,
    maxAttempts: 2,
    timeoutMs: 1_000,
    objectiveMs: 100,
    gapObjectiveMs: 0,
    priority: 0,
    isPublic: false,
    models: [],
    targets: [{service: 'app', weight: 1}],
    ...change,
  };
}

function createTable(change: Partial<RouteTable> = {}): RouteTable {
  return {
    version: 1,
    routes: [createRoute()],
    services: [{name: 'app', maxConnections: 10, engine: null}],
    customers: null,
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    ...change,
  };
}

test('checkRouteTable() accepts a valid table', () => {
  assert.deepEqual(checkRouteTable(createTable()), []);
});

test('checkRouteTable() reports an unknown service and weights of 0', () => {
  const targets = [{service: 'nobody', weight: 0}];
  const issues = checkRouteTable(
    createTable({routes: [createRoute({targets})]}),
  );
  assert.equal(issues.length, 2);
});

test('checkRouteTable() reports two routes with one host and path', () => {
  const routes = [
    createRoute(),
    createRoute({name: 'r2', host: 'DESK.example'}),
  ];
  assert.equal(checkRouteTable(createTable({routes})).length, 1);
});

test('checkRouteTable() reports two customers with one key', () => {
  const customers = [
    {name: 'a', keys: ['k'], priority: null},
    {name: 'b', keys: ['k'], priority: null},
  ];
  assert.equal(checkRouteTable(createTable({customers})).length, 1);
});

test.run();
