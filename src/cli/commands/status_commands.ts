/** The commands `status`, `addresses` and `explain`. */
import type {Command} from 'commander';
import type {Host} from '../../protocol/control.ts';
import type {EndpointRecord} from '../../protocol/endpoint.ts';
import type {RolloutState} from '../../protocol/rollout_state.ts';
import {
  addConnection,
  ask,
  printAnswer,
  type Connection,
} from './connection.ts';

/** Adds the commands to `program`. */
export function addStatusCommands(program: Command): void {
  addConnection(program.command('status'))
    .description('show what is in force, which hosts and endpoints are there')
    .action(async (options: Connection) => {
      const {formatTable} = await import('./format_table.ts');
      printAnswer(
        options,
        await ask(options, '/operator/status'),
        (body: Status) => formatStatus(body, formatTable),
      );
    });
  addConnection(program.command('addresses'))
    .description('show the addresses that callers are told to use')
    .action(async (options: Connection) => {
      const answer = await ask(options, '/v1/addresses');
      printAnswer(options, answer, (body: Addresses) =>
        body.addresses.map(each => each.address).join('\n'),
      );
    });
  addConnection(program.command('explain <request>'))
    .description('show the whole life of one request')
    .addHelpText(
      'after',
      '\nThe request id is in the header x-request-id of every answer.\nAsk the gateway that took the request.',
    )
    .action(async (request: string, options: Connection) => {
      const path = `/operator/requests/${encodeURIComponent(request)}`;
      printAnswer(options, await ask(options, path), (body: unknown) =>
        formatNestedValue(body),
      );
    });
}

interface Addresses {
  readonly addresses: ReadonlyArray<{readonly address: string}>;
}

interface Status {
  readonly revision: number | null;
  readonly version: number | null;
  readonly withdrawals: ReadonlyArray<{version: string; reason: string}>;
  readonly rollouts: readonly RolloutState[];
  readonly hosts: readonly Host[];
  readonly endpoints: ReadonlyArray<EndpointRecord & {inFlight: number}>;
}

type FormatTable = (
  head: readonly string[],
  rows: ReadonlyArray<readonly unknown[]>,
) => string;

function formatStatus(status: Status, formatTable: FormatTable): string {
  const version =
    status.version === null
      ? 'No declaration is in force at this daemon.'
      : `Version ${status.version} is in force, at revision ${status.revision}.`;
  const hosts = formatTable(
    ['host', 'data centre', 'address', 'state'],
    status.hosts.map(host => [
      host.name,
      host.dataCentre,
      host.publicAddress,
      host.leaving ? 'leaving' : host.gateway ? 'gateway' : 'replica only',
    ]),
  );
  const endpoints = formatTable(
    ['endpoint', 'pool', 'data centre', 'in flight', 'state'],
    status.endpoints.map(endpoint => [
      endpoint.name,
      endpoint.pool,
      endpoint.dataCentre,
      `${endpoint.inFlight} of ${endpoint.slots}`,
      endpoint.leaving ? 'leaving' : 'serving',
    ]),
  );
  const rollouts = formatTable(
    ['roll-out', 'status', 'stage', 'share', 'reason'],
    status.rollouts.map(each => [
      `${each.model}/${each.version}`,
      each.status,
      each.stage + 1,
      each.share,
      each.reason,
    ]),
  );
  const withdrawals = formatTable(
    ['withdrawn', 'reason'],
    status.withdrawals.map(each => [each.version, each.reason]),
  );
  return [
    version,
    `\nHosts\n${hosts}`,
    `\nEndpoints\n${endpoints}`,
    `\nRoll-outs\n${rollouts}`,
    `\nWithdrawals\n${withdrawals}`,
  ].join('\n');
}

/** Formats nested values as indented lines of `name: value`. */
export function formatNestedValue(value: unknown, indent = ''): string {
  if (typeof value !== 'object' || value === null) return `${indent}${value}`;
  return Object.entries(value)
    .filter(([, each]) => each !== undefined)
    .map(([name, each]) =>
      typeof each === 'object' && each !== null
        ? `${indent}${name}:\n${formatNestedValue(each, `${indent}  `)}`
        : `${indent}${name}: ${each}`,
    )
    .join('\n');
}
