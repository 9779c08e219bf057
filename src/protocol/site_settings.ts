/**
 * The settings of one daemon of a routing deployment, read from a TOML file.
 *
 * A daemon with `listen.front` is a gateway; one with a data folder belongs to
 * the core.
 */
import * as z from 'zod';

const addressSchema = z.string().regex(/^[^\s:]+:\d{1,5}$/, {
  message: 'expected an IP number and a port, such as "10.0.0.1:8080"',
});

export const siteSettingsSchema = z.object({
  name: z.string().min(1),
  region: z.string().min(1),
  data_centre: z.string().min(1),
  /** The region of each data centre. */
  data_centres: z.record(z.string(), z.string()).default({}),
  /** Present on a host with a disk, which makes the daemon part of the core. */
  data_folder: z.string().min(1).optional(),
  /** True only at the first start of the whole system. */
  bootstrap: z.boolean().default(false),
  /** Control addresses of three daemons of the core. */
  seeds: z.array(addressSchema).min(1),
  /** A file with the secret shared by all daemons. */
  peer_secret_file: z.string().min(1),
  listen: z.object({
    /** For other daemons. */
    peers: addressSchema,
    /** For callers. */
    front: addressSchema.optional(),
    /** For readiness probes. */
    ready: addressSchema.optional(),
    /** For endpoints and operators. */
    control: addressSchema.optional(),
    /** For callers that look up the addresses of gateways. */
    directory: addressSchema.optional(),
    /** For metrics scrapers. */
    metrics: addressSchema.optional(),
  }),
  bounds: z
    .object({
      /** The grace period of a process that shuts down, in s. */
      grace_s: z.number().positive().default(8),
      /** The retry budget of a service, as a share of its requests. */
      retry_ratio: z.number().nonnegative().default(0.2),
      /** Retries allowed beyond that share in one window. */
      retry_extra: z.number().nonnegative().default(20),
      retry_window_s: z.number().positive().default(10),
      /** The largest share of requests for an unproven version. */
      canary_share: z.number().positive().default(0.1),
      /** The number of simultaneous disk losses that lose no commit. */
      tolerated_disks: z.int().nonnegative().default(2),
      /** The longest time that callers cache a directory reply, in s. */
      directory_ttl_max_s: z.number().positive().default(5),
    })
    .prefault({}),
  log: z
    .object({
      level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
      format: z.enum(['text', 'json']).default('json'),
    })
    .prefault({}),
});

export type SiteSettings = z.infer<typeof siteSettingsSchema>;
