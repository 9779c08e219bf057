/** What a daemon answers to operators. */
import type {Clock} from '../../protocol/clock.ts';
import type {
  ControlCommand,
  ControlResult,
  OperatorCommand,
} from '../../protocol/control.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import type {ProposeReply} from '../../protocol/peer_service.ts';
import type {ConfigurationLease} from '../../coordination/leases/configuration_lease.ts';
import type {EndpointTable} from '../../coordination/membership/endpoint_table.ts';
import {checkDeclaration} from '../../protocol/check_declaration.ts';
import {digestDeclaration} from '../../protocol/digest_declaration.ts';
import type {OperatorService} from '../../transport/public/operator_routes.ts';
import type {CallReplica} from './call_replica.ts';
import type {Replicas} from './replicas.ts';

export interface OperatorServiceOptions {
  readonly propose: (command: ControlCommand) => Promise<ProposeReply>;
  readonly clock: Clock;
  readonly lease: ConfigurationLease;
  readonly listReplicas: () => readonly string[];
  readonly callReplica: CallReplica;
  readonly replicas: Replicas;
  readonly endpoints: EndpointTable;
}

/** How long an operator waits for a change to be in force everywhere. */
const IN_FORCE_TIMEOUT_MS = 9_000;

/** How often the leases are looked at meanwhile. */
const POLL_MS = 50;

/** Creates the service that the operators' routes use. */
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
      const inForce = await waitUntilInForce(options, result.revision);
      return {status: 200, body: {...result, inForce}};
    },
    async describeStatus() {
      const view = lease.getView();
      return {
        revision: view?.revision ?? null,
        version: view?.declaration?.version ?? null,
        withdrawals: view?.withdrawals ?? [],
        rollouts: view?.rollouts ?? [],
        hosts: lease.listHosts(),
        endpoints: endpoints.list(),
        control: control && {
          leader: control.leader,
          term: control.term,
          applied: control.applied,
        },
      };
    },
    async exportBills(shard, after) {
      const bills = (replicas.ledgers[shard]?.bills ?? []).slice(after);
      const cursor = after + bills.length;
      const shards = replicas.ledgers.length;
      return {bills, cursor, complete: true, shards};
    },
  };
}

/** Checks a command before it is proposed, and adds what the log needs. */
function prepareCommand(
  command: OperatorCommand,
  atMs: number,
): Outcome<ControlCommand, {type: 'rejected'; message: string}> {
  // The daemon's clock counts, since roll-outs are timed from it.
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

async function waitUntilInForce(
  options: OperatorServiceOptions,
  revision: number,
): Promise<boolean> {
  const {clock} = options;
  const deadline = clock.monotonic() + IN_FORCE_TIMEOUT_MS;
  while (clock.monotonic() < deadline) {
    const behind = await findBehind(options, revision);
    if (behind?.length === 0) return true;
    await clock.sleep(POLL_MS);
  }
  return false;
}

/** The daemons behind a revision; `null` when that is not known. */
async function findBehind(
  options: OperatorServiceOptions,
  revision: number,
): Promise<readonly string[] | null> {
  for (const name of options.listReplicas()) {
    const reply = await options
      .callReplica(name)
      .checkInForce({revision})
      .catch(() => null);
    if (reply?.type === 'behind') return reply.hosts;
  }
  return null;
}
