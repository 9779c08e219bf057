/** Commands and views of the control group, and the lease that carries them. */
import {z} from 'zod';
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

/** A daemon's renewal of its configuration lease. */
export const leaseRequestSchema = z.object({
  host: hostSchema,
  /** Differs after each restart of the daemon. */
  incarnation: z.string(),
  /** The revision in force at the daemon; -1 before the first. */
  revision: z.int().min(-1),
  /** The hosts' revision that the daemon knows. */
  hostsRevision: z.string(),
});

export type LeaseRequest = z.infer<typeof leaseRequestSchema>;

/** The answer to a renewal. */
export const leaseReplySchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('granted'),
    leaseMs: z.number(),
    /** Present when the daemon's revision is older. */
    view: controlViewSchema.optional(),
    /** Present when the daemon's list of hosts is older. */
    hosts: z.array(hostSchema).optional(),
    hostsRevision: z.string(),
  }),
  z.object({type: z.literal('not-leader'), leader: z.string().nullable()}),
]);

export type LeaseReply = z.infer<typeof leaseReplySchema>;
