/** Commands and views of the control group, and the lease that carries them. */
import * as z from 'zod';
import {declarationSchema} from './declaration.ts';
import {
  endCommandSchema,
  pauseCommandSchema,
  rolloutCommandSchemas,
  rolloutStateSchema,
} from './rollout_state.ts';

/** A change of the control group's state. Every command is idempotent. */
export const controlCommandSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('apply'),
    declaration: declarationSchema,
    /** SHA-256 of the canonical content. */
    digest: z.string(),
    /** The wall time of the daemon that took the declaration in. */
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
  /** Draws a fencing number for orders to endpoints. */
  z.object({type: z.literal('take_fencing')}),
]);

export type ControlCommand = z.infer<typeof controlCommandSchema>;

/** What operators order; the daemon that is asked adds the digest. */
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

/** What became of a control command. */
export type ControlResult =
  | {readonly type: 'accepted'; readonly revision: number}
  | {
      readonly type: 'conflict' | 'stale';
      /** The number of the declaration in force. */
      readonly version: number;
      readonly message: string;
    }
  | {readonly type: 'rejected'; readonly message: string}
  /** A number larger than every one that was drawn before. */
  | {readonly type: 'fencing'; readonly number: number};

/** The configuration as a daemon needs it. */
export const controlViewSchema = z.object({
  /** Grows with every committed change; a daemon never goes back. */
  revision: z.int().nonnegative(),
  declaration: declarationSchema.nullable(),
  /** Versions withdrawn by a command or by the system itself. */
  withdrawals: z.array(z.object({version: z.string(), reason: z.string()})),
  /** Where each declared roll-out stands. */
  rollouts: z.array(rolloutStateSchema).default([]),
  /** Hosts that an operator drains. */
  draining: z.array(z.string()),
  /**
   * True when the daemon's lease ran out and the view holds only what its
   * pools may go on with meanwhile. Never part of the replicated state.
   */
  isolated: z.boolean().optional(),
});

export type ControlView = z.infer<typeof controlViewSchema>;

/** A daemon as the holders of leases and the callers see it. */
export const hostSchema = z.object({
  name: z.string(),
  region: z.string(),
  dataCentre: z.string(),
  publicAddress: z.string(),
  peerAddress: z.string(),
  gateway: z.boolean(),
  /** True from the first shutdown signal on. */
  leaving: z.boolean(),
});

export type Host = z.infer<typeof hostSchema>;

/** The daemons that hold a lease, by name. */
export type HostsByName = Readonly<Record<string, Host>>;

/** A daemon's renewal of its configuration lease, sent to any replica. */
export const leaseRequestSchema = z.object({
  host: hostSchema,
  /** Differs after each restart of the daemon. */
  incarnation: z.string(),
  /** The revision in force at the daemon; -1 before the first. */
  revision: z.int().min(-1),
  /** The hosts' revision that the daemon knows. */
  hostsRevision: z.string(),
  /** How long the answer may be held back while there is no news. */
  waitMs: z.number().nonnegative().default(0),
});

export type LeaseRequest = z.infer<typeof leaseRequestSchema>;

/** A document, or the JSON patch (RFC 6902) from the one that is known. */
export type DocumentUpdate<T> =
  | {readonly type: 'whole'; readonly document: T}
  | {
      readonly type: 'patch';
      /** The revision that the patch applies to. */
      readonly from: number | string;
      readonly operations: readonly unknown[];
    };

/** The answer to a renewal. */
export type LeaseReply =
  | {
      readonly type: 'granted';
      /** The length of the lease, counted from when it was asked for. */
      readonly leaseMs: number;
      /** The lease is only good for this revision or a later one. */
      readonly revision: number;
      /** Present when the daemon's revision is older. */
      readonly view?: DocumentUpdate<ControlView>;
      /** Present when the daemon knows other hosts. */
      readonly hosts?: DocumentUpdate<HostsByName>;
      readonly hostsRevision: string;
    }
  /** This replica cannot have a lease granted now; ask another. */
  | {readonly type: 'unavailable'};

/** The renewals that a replica gathered, sent to the leader as one. */
export const grantRequestSchema = z.object({
  renewals: z.array(
    z.object({
      name: z.string(),
      incarnation: z.string(),
      revision: z.int().min(-1),
      /** Left out while it is what the leader was told before. */
      host: hostSchema.optional(),
    }),
  ),
  /** The hosts' revision that the replica knows. */
  hostsRevision: z.string(),
});

export type GrantRequest = z.infer<typeof grantRequestSchema>;

/** The leader's answer: all renewals are granted but the unknown ones. */
export type GrantReply =
  | {
      readonly type: 'granted';
      readonly leaseMs: number;
      /** The revision that is committed at the time of the grant. */
      readonly revision: number;
      readonly hosts?: DocumentUpdate<HostsByName>;
      readonly hostsRevision: string;
      /** Daemons that must be described again; their leases are not granted. */
      readonly unknown: readonly string[];
    }
  | {readonly type: 'not-leader'; readonly leader: string | null};

/** Daemons of a region that left without a word and may be cut off. */
export interface UnreachableRegion {
  readonly region: string;
  readonly hosts: readonly string[];
  /** The wall time of their last sign of life, in milliseconds. */
  readonly sinceMs: number;
}

/** One process of a daemon. */
export interface LeaseHolder {
  readonly name: string;
  readonly incarnation: string;
}
