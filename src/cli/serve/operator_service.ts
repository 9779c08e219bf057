/** Handles operator requests. */
import type {Clock} from '../../protocol/clock.ts';
import type {
  ControlCommand,
  ControlResult,
  OperatorCommand,
  UnreachableRegion,
} from '../../protocol/control.ts';
import type {LedgerCommand, LedgerResult} from '../../protocol/ledger.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import type {ProposeReply} from '../../protocol/peer_service.ts';
import type {ConfigurationLease} from '../../coordination/leases/configuration_lease.ts';
import {formatLedgerGroup} from '../../coordination/requests/ledger_client.ts';
import type {EndpointTable} from '../../coordination/membership/endpoint_table.ts';
import {checkDeclaration} from '../../protocol/check_declaration.ts';
import {digestDeclaration} from '../../protocol/digest_declaration.ts';
import type {OperatorService} from '../../transport/public/operator_routes.ts';
import {describeGroups} from './describe_groups.ts';
import type {CallReplica} from './call_replica.ts';
import type {Replicas} from './replicas.ts';

export interface OperatorServiceOptions {
  readonly propose: (command: ControlCommand) => Promise<ProposeReply>;
  readonly proposeToLedger: (
    group: string,
    command: LedgerCommand,
  ) => Promise<ProposeReply>;
  readonly clock: Clock;
  readonly lease: ConfigurationLease;
  readonly listReplicas: () => readonly string[];
  readonly callReplica: CallReplica;
  readonly replicas: Replicas;
  readonly endpoints: EndpointTable;
  readonly ledgerGroups: number;
}

/** The longest wait for a change to be in force at all daemons. */
const IN_FORCE_TIMEOUT_MS = 9_000;

/** The time-out for a read from one replica. */
const READ_TIMEOUT_MS = 1_500;

/** The interval between checks whether a change is in force. */
const POLL_MS = 50;

/** Creates the service behind the operator routes. */
export function createOperatorService(
  options: OperatorServiceOptions,
): OperatorService {
  const {lease, endpoints, replicas} = options;
  const control = replicas.control?.replica;
  return {
    async execute(command) {
      const checked = prepareCommand(command, options.clock.now());
      if (!checked.ok) return {status: 422, body: checked.error};
      const reply = await options.propose(checked.value);
      if (reply.type !== 'committed') {
        return {status: 503, body: describeUncommitted(reply)};
      }
      const result = reply.result as ControlResult;
      if (result.type !== 'accepted') return {status: 409, body: result};
      const state = await waitUntilInForce(options, result.revision);
      return {status: 200, body: {...result, ...state}};
    },
    async describeStatus() {
      const view = lease.getView();
      return {
        lease: lease.isHeld() ? 'held' : view ? 'isolated' : 'lost',
        revision: view?.revision ?? null,
        version: view?.declaration?.version ?? null,
        withdrawals: view?.withdrawals ?? [],
        rollouts: view?.rollouts ?? [],
        hosts: lease.listHosts(),
        endpoints: endpoints.list(),
        ledgers: replicas.ledgers.map(ledger => ledger.describeSummary()),
        groups: describeGroups(replicas),
        control: control && {
          leader: control.leader,
          term: control.term,
          applied: control.applied,
        },
      };
    },
    getDeclaration: () => lease.getView()?.declaration ?? null,
    async archiveBills(shard, through) {
      const reply = await options.proposeToLedger(formatLedgerGroup(shard), {
        type: 'archive_bills',
        through,
      });
      if (reply.type !== 'committed') return null;
      const result = reply.result as LedgerResult;
      return result.type === 'archived' ? result.through : null;
    },
    async exportBills(shard, after) {
      const shards = options.ledgerGroups;
      const reply = await readLedger(options, formatLedgerGroup(shard), after);
      return reply && {...reply.page, shards};
    },
  };
}

/** Validates a command and adds the fields that the log entry needs. */
function prepareCommand(
  command: OperatorCommand,
  atMs: number,
): Outcome<ControlCommand, {type: 'rejected'; message: string}> {
  // Roll-outs are timed by the daemons' clocks, not by the operator's.
  if (command.type === 'pause_rollout') return succeed({...command, atMs});
  if (command.type !== 'apply') return succeed(command);
  const {declaration} = command;
  const issues = checkDeclaration(declaration).map(
    issue => `${issue.path.join('.')}: ${issue.message}`,
  );
  if (issues.length > 0) {
    const message = `Could not apply version ${declaration.version}: ${issues.join('; ')}`;
    return fail({type: 'rejected', message});
  }
  return succeed({...command, digest: digestDeclaration(declaration), atMs});
}

function describeUncommitted(reply: ProposeReply) {
  return reply.type === 'unknown'
    ? {
        type: 'unknown',
        message:
          'Could not tell whether the command was accepted: send it again',
      }
    : {
        type: 'not-accepted',
        message: 'Could not accept the command: no control group answers',
      };
}

/** Where a change is in force. */
interface InForceState {
  /** Whether no valid lease allows a daemon to use an older configuration. */
  readonly inForce: boolean;
  /** Unreachable regions, which may still serve older, stable versions. */
  readonly except?: readonly UnreachableRegion[];
  /** Daemons that have not applied the change; `null` if unknown. */
  readonly behind?: readonly string[] | null;
  /** A sentence for operators, unless the change is in force everywhere. */
  readonly message?: string;
}

async function waitUntilInForce(
  options: OperatorServiceOptions,
  revision: number,
): Promise<InForceState> {
  const {clock} = options;
  const deadline = clock.monotonic() + IN_FORCE_TIMEOUT_MS;
  let behind: readonly string[] | null = null;
  while (clock.monotonic() < deadline) {
    const reply = await findOutdatedHosts(options, revision);
    behind = reply?.hosts ?? null;
    if (reply && behind?.length === 0) {
      const except = reply.unreachable;
      if (except.length === 0) return {inForce: true};
      return {inForce: true, except, message: describeUnreachable(except)};
    }
    await clock.sleep(POLL_MS);
  }
  const message = behind
    ? `Accepted, but not yet in force at ${behind.join(', ')}.`
    : 'Accepted, but it is not known yet where it is in force.';
  return {inForce: false, behind, message};
}

function describeUnreachable(except: readonly UnreachableRegion[]): string {
  const places = except.map(({region, hosts, sinceMs}) => {
    const named = hosts.length === 0 ? '' : ` (${hosts.join(', ')})`;
    const since = new Date(sinceMs).toISOString();
    return `${region}${named}, unreachable since ${since}`;
  });
  return `In force except in ${places.join('; ')}.`;
}

/** Finds the daemons behind a revision; `null` if no leader answers. */
async function findOutdatedHosts(
  options: OperatorServiceOptions,
  revision: number,
) {
  for (const name of options.listReplicas()) {
    const reply = await options
      .callReplica(name)
      .checkInForce({revision}, READ_TIMEOUT_MS)
      .catch(() => null);
    if (reply?.type === 'behind') return reply;
  }
  return null;
}

/** Reads from the leader of a ledger group; `null` if none answers. */
async function readLedger(
  options: OperatorServiceOptions,
  group: string,
  after: number,
) {
  for (const name of options.listReplicas()) {
    const reply = await options
      .callReplica(name)
      .readLedger({group, after}, READ_TIMEOUT_MS)
      .catch(() => null);
    if (reply?.type === 'read') return reply;
  }
  return null;
}
