/**
 * The settings of one daemon, read from a TOML file at start-up.
 *
 * Settings contain what is specific to this host: its name, addresses, data
 * folder and secrets. The behaviour of the system is in the declaration.
 */
import * as z from 'zod';
import {addressSchema as address, listenAddressSchema} from './address.ts';

/** A daemon with a data folder, as its peers address it. */
export const peerSchema = z.strictObject({
  name: z.string().min(1),
  region: z.string().min(1),
  data_centre: z.string().min(1),
  /** The daemon's address for other daemons. */
  address,
});

/** The whole settings file. */
export const settingsSchema = z.strictObject({
  name: z.string().min(1),
  region: z.string().min(1),
  data_centre: z.string().min(1),
  /** Present on a host with a disk, which makes the daemon a replica. */
  data_folder: z.string().min(1).optional(),
  /** False on a host dedicated to replicas. */
  gateway: z.boolean().default(true),
  listen: z.strictObject({
    /** For callers, endpoints and operators. */
    public: listenAddressSchema,
    /** For other daemons. */
    peers: listenAddressSchema,
  }),
  /** Addresses to advertise instead of `listen`, such as behind a proxy. */
  advertise: z
    .strictObject({public: address.optional(), peers: address.optional()})
    .default({}),
  /** The daemons that are replicas when the groups are formed. */
  replicas: z.array(peerSchema).min(1),
  /** The number of voters among them; the others are standby replicas. */
  voters: z.int().min(1).max(7).default(3),
  /** A voter unreachable for this long is replaced by a standby replica. */
  replace_after_s: z.number().positive().default(30),
  ledger_groups: z.int().min(1).max(64).default(1),
  secrets: z.strictObject({
    /** A file with the secret shared by all daemons. */
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
  /** What the host gives this daemon; its budgets follow from it. */
  host: z
    .strictObject({memory_mib: z.number().positive().default(1_024)})
    .prefault({}),
  metrics: z.strictObject({statsd: address.optional()}).default({}),
  rating: z.strictObject({address: address.optional()}).default({}),
  weights: z.strictObject({address: address.optional()}).default({}),
});

export type Peer = z.infer<typeof peerSchema>;
export type Settings = z.infer<typeof settingsSchema>;
