/**
 * The settings of one daemon, read from a TOML file at its start.
 *
 * Settings say what only this host knows: its name, addresses, data folder
 * and secrets. What the system does is in the declaration instead.
 */
import * as z from 'zod';

const address = z.string().regex(/^[^\s:]+:\d{1,5}$/, {
  message: 'expected an IP number and a port, such as "10.0.0.1:8080"',
});

/** A daemon with a data folder, as its peers reach it. */
export const peerSchema = z.strictObject({
  name: z.string().min(1),
  region: z.string().min(1),
  data_centre: z.string().min(1),
  /** Where the daemon listens for other daemons. */
  address,
});

/** The whole settings file. */
export const settingsSchema = z.strictObject({
  name: z.string().min(1),
  region: z.string().min(1),
  data_centre: z.string().min(1),
  /** Present on a host with a disk; the daemon is then a replica. */
  data_folder: z.string().min(1).optional(),
  /** False on a host set aside for replicas. */
  gateway: z.boolean().default(true),
  listen: z.strictObject({
    /** Callers, endpoints and operators. */
    public: address,
    /** Other daemons. */
    peers: address,
  }),
  /** What others use instead of the listening addresses, behind a proxy. */
  advertise: z
    .strictObject({public: address.optional(), peers: address.optional()})
    .default({}),
  /** The daemons that carry the replicated state at formation. */
  replicas: z.array(peerSchema).min(1),
  /** How many of them vote; the others stand by with their disks. */
  voters: z.int().min(1).max(7).default(3),
  /** The silence after which a voter is replaced by one that stands by. */
  replace_after_s: z.number().positive().default(30),
  ledger_groups: z.int().min(1).max(64).default(1),
  secrets: z.strictObject({
    /** A file with the secret that daemons share. */
    peer_file: z.string().min(1),
    /** A file with the secret of operators. */
    operator_file: z.string().min(1),
    /** A file with the secret of endpoints. */
    endpoint_file: z.string().min(1),
  }),
  log: z
    .strictObject({
      level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
      format: z.enum(['text', 'json']).default('text'),
    })
    .default({level: 'info', format: 'text'}),
  metrics: z.strictObject({statsd: address.optional()}).default({}),
  rating: z.strictObject({address: address.optional()}).default({}),
  weights: z.strictObject({address: address.optional()}).default({}),
});

export type Peer = z.infer<typeof peerSchema>;
export type Settings = z.infer<typeof settingsSchema>;
