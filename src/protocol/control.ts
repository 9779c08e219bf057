/** Commands and views of the control group, and configuration leases. */
import * as z from 'zod';
import {declarationSchema} from './declaration.ts';
import {
  endCommandSchema,
  pauseCommandSchema,
  rolloutCommandSchemas,
  rolloutStateSchema,
} from './rollout_state.ts';

/** A change to the control group's state. Every command is idempotent. */
export const controlCommandSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('apply'),
    declaration: declarationSchema,
    /** SHA-256 of the declaration's canonical form. */
    digest: z.string(),
    /** The wall-clock time at the daemon that received the declaration. */
    atMs: z.number().default(0),
  }),
  z.object({
    type: z.literal('withdraw'),
    version: z.string(),
    reason: z.string(),
  }),
  z.object({
    type: z.literal('drain'),
    host: z.string(),
    draining: z.boolean(),
  }),
  ...rolloutCommandSchemas,
  /** Allocates a fencing number for orders to endpoints. */
  z.object({type: z.literal('take_fencing')}),
]);

export type ControlCommand = z.infer<typeof controlCommandSchema>;

/** An operator's command; the daemon that receives it adds the digest. */
export const operatorCommandSchema = z.discriminatedUnion('type', [
  z.object({type: z.literal('apply'), declaration: declarationSchema}),
  z.object({
    type: z.literal('withdraw'),
    version: z.string(),
    reason: z.string(),
  }),
  z.object({
    type: z.literal('drain'),
    host: z.string(),
    draining: z.boolean(),
  }),
  pauseCommandSchema,
  endCommandSchema,
]);

export type OperatorCommand = z.infer<typeof operatorCommandSchema>;

/** The result of a control command. */
export type ControlResult =
  | {readonly type: 'accepted'; readonly revision: number}
  | {
      readonly type: 'conflict' | 'stale';
      /** The version of the declaration in force. */
      readonly version: number;
      readonly message: string;
    }
  | {readonly type: 'rejected'; readonly message: string}
  /** A number larger than any allocated before. */
  | {readonly type: 'fencing'; readonly number: number};

/** The configuration that daemons receive. */
export const controlViewSchema = z.object({
  /** Increases with every committed change; daemons never go back. */
  revision: z.int().nonnegative(),
  declaration: declarationSchema.nullable(),
  /** Versions withdrawn by an operator or by the system itself. */
  withdrawals: z.array(z.object({version: z.string(), reason: z.string()})),
  /** The state of each declared roll-out. */
  rollouts: z.array(rolloutStateSchema).default([]),
  /** Hosts that operators are draining. */
  draining: z.array(z.string()),
  /**
   * True if the daemon's lease expired and the view is reduced to the pools
   * that may be served without one. Never part of the replicated state.
   */
  isolated: z.boolean().optional(),
});

export type ControlView = z.infer<typeof controlViewSchema>;

/** A daemon as lease holders and callers see it. */
export const hostSchema = z.object({
  name: z.string(),
  region: z.string(),
  dataCentre: z.string(),
  publicAddress: z.string(),
  peerAddress: z.string(),
  gateway: z.boolean(),
  /** True once the daemon received a shutdown signal. */
  leaving: z.boolean(),
});

export type Host = z.infer<typeof hostSchema>;

/** The daemons that hold a lease, keyed by name. */
export type HostsByName = Readonly<Record<string, Host>>;

/** A daemon's request to renew its configuration lease, at any replica. */
export const leaseRequestSchema = z.object({
  host: hostSchema,
  /** Differs after each restart of the daemon. */
  incarnation: z.string(),
  /** The revision in force at the daemon; -1 if it has none. */
  revision: z.int().min(-1),
  /** The revision of the host list that the daemon has. */
  hostsRevision: z.string(),
  /** How long the reply may be delayed while nothing changes (long poll). */
  waitMs: z.number().nonnegative().default(0),
});

export type LeaseRequest = z.infer<typeof leaseRequestSchema>;

/** A whole document, or a JSON patch (RFC 6902) to an earlier revision. */
export type DocumentUpdate<T> =
  | {readonly type: 'whole'; readonly document: T}
  | {
      readonly type: 'patch';
      /** The revision that the patch applies to. */
      readonly from: number | string;
      readonly operations: readonly unknown[];
    };

/** The reply to a lease renewal. */
export type LeaseReply =
  | {
      readonly type: 'granted';
      /** The duration of the lease, counted from the request. */
      readonly leaseMs: number;
      /** The lease is valid only for this revision or a later one. */
      readonly revision: number;
      /** Present if the daemon's revision is older. */
      readonly view?: DocumentUpdate<ControlView>;
      /** Present if the daemon's host list is out of date. */
      readonly hosts?: DocumentUpdate<HostsByName>;
      readonly hostsRevision: string;
    }
  /** This replica cannot obtain a grant now; try another. */
  | {readonly type: 'unavailable'};

/** The renewals that a replica received, batched for the leader. */
export const grantRequestSchema = z.object({
  renewals: z.array(
    z.object({
      name: z.string(),
      incarnation: z.string(),
      revision: z.int().min(-1),
      /** Absent if unchanged since it was last sent to the leader. */
      host: hostSchema.optional(),
    }),
  ),
  /** The revision of the host list that the replica has. */
  hostsRevision: z.string(),
});

export type GrantRequest = z.infer<typeof grantRequestSchema>;

/** The leader's reply, which grants all renewals except the unknown ones. */
export type GrantReply =
  | {
      readonly type: 'granted';
      readonly leaseMs: number;
      /** The committed revision at the time of the grant. */
      readonly revision: number;
      readonly hosts?: DocumentUpdate<HostsByName>;
      readonly hostsRevision: string;
      /** Daemons whose `host` must be sent again; they get no lease. */
      readonly unknown: readonly string[];
    }
  | {readonly type: 'not-leader'; readonly leader: string | null};

/**
 * Daemons of a region whose leases expired without a shutdown notice, so that
 * they may be partitioned.
 */
export interface UnreachableRegion {
  readonly region: string;
  readonly hosts: readonly string[];
  /** Their earliest last renewal or, without hosts, the leader's start. */
  readonly sinceMs: number;
}

/** A daemon process that holds a configuration lease. */
export interface LeaseHolder {
  readonly name: string;
  readonly incarnation: string;
}
