/** Proposes ledger commands to the group that holds a request's key. */
import {createHash} from 'node:crypto';
import type {LedgerCommand, LedgerResult} from '../../protocol/ledger.ts';
import type {ProposeReply} from '../../protocol/peer_service.ts';

/** Proposes a command to the current leader of a group. */
export type Propose = (
  group: string,
  command: unknown,
) => Promise<ProposeReply>;

/** The prefix of the names of ledger groups. */
const LEDGER_PREFIX = 'ledger-';

/** Submits commands to the ledger; `null` means that the outcome is unknown. */
export interface LedgerClient {
  submit(
    customer: string,
    key: string,
    command: LedgerCommand,
  ): Promise<LedgerResult | null>;
}

/** Returns the name of the ledger group of a shard. */
export function formatLedgerGroup(shard: number): string {
  return `${LEDGER_PREFIX}${shard}`;
}

export interface LedgerClientOptions {
  readonly groupCount: number;
  readonly propose: Propose;
  /** The gateway process that admits requests, as `name/incarnation`. */
  readonly gateway: string;
}

/**
 * Creates a client of the ledger groups.
 *
 * A claim is stored in the shard of its key and a pin in the shard of its
 * session, so that each has a single home independent of the other.
 */
export function createLedgerClient(options: LedgerClientOptions): LedgerClient {
  const {groupCount, gateway} = options;
  const propose = async (
    customer: string,
    key: string,
    command: LedgerCommand,
  ): Promise<LedgerResult | null> => {
    const group = formatLedgerGroup(selectShard(customer, key, groupCount));
    const reply = await options.propose(group, command);
    return reply.type === 'committed' ? (reply.result as LedgerResult) : null;
  };
  return {
    async submit(customer, key, command) {
      if (command.type !== 'admit') return propose(customer, key, command);
      const admit = {...command, gateway};
      const {session, version, repin, atMs} = admit;
      const isSameShard =
        session === undefined ||
        selectShard(customer, session, groupCount) ===
          selectShard(customer, key, groupCount);
      if (isSameShard) return propose(customer, key, admit);
      const [admitted, pin] = await Promise.all([
        propose(customer, key, {...admit, session: undefined}),
        propose(customer, session, {
          type: 'pin',
          customer,
          session,
          version,
          repin,
          atMs,
        }),
      ]);
      if (admitted?.type !== 'admitted') return admitted;
      return pin?.type === 'pinned' ? {...admitted, pinned: pin.pinned} : null;
    },
  };
}

/** Returns the shard of a customer's key or session, by hash. */
export function selectShard(
  customer: string,
  key: string,
  groupCount: number,
): number {
  const hash = createHash('sha256').update(`${customer}\u0000${key}`).digest();
  return hash.readUInt32BE(0) % groupCount;
}
