/**
 * The settings of one daemon of a routing deployment, read from a TOML file.
 *
 * A daemon with `listen.front` is a gateway; one with a data folder belongs to
 * the core.
 */
import * as z from 'zod';
import {addressSchema, listenAddressSchema} from './address.ts';

/** The largest number of seconds, retries or shares. */
const MAX_NUMBER = 1_000_000_000;

/** The largest number of disk losses to tolerate. */
const MAX_TOLERATED_DISKS = 100;

const numberSchema = z.number().max(MAX_NUMBER);

const fileSchema = z.object({
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
  seeds: z.array(z.unknown()),
  /** A file with the secret shared by all daemons. */
  peer_secret_file: z.string().min(1),
  listen: z.object({
    /** For other daemons. */
    peers: addressSchema,
    /** For callers. */
    front: addressSchema.optional(),
    /** For readiness probes. */
    ready: listenAddressSchema.optional(),
    /** For endpoints and operators. */
    control: addressSchema.optional(),
    /** For callers that look up the addresses of gateways. */
    directory: listenAddressSchema.optional(),
    /** For metrics scrapers. */
    metrics: listenAddressSchema.optional(),
  }),
  bounds: z
    .object({
      /** The grace period of a process that shuts down, in s. */
      grace_s: numberSchema.positive().default(8),
      /** The retry budget of a service, as a share of its requests. */
      retry_ratio: numberSchema.nonnegative().default(0.2),
      /** Retries allowed beyond that share in one window. */
      retry_extra: numberSchema.nonnegative().default(20),
      retry_window_s: numberSchema.positive().default(10),
      /** The largest share of requests for an unproven version. */
      canary_share: numberSchema.positive().default(0.1),
      /** Requests for an unproven version beyond that share. */
      canary_extra: numberSchema.nonnegative().default(0),
      /** The number of simultaneous disk losses that lose no commit. */
      tolerated_disks: z.int().min(0).max(MAX_TOLERATED_DISKS).default(2),
      /** What the answers of all endpoints may keep of a gateway's memory, in MiB. */
      answer_memory_mib: numberSchema.positive().default(8),
      /**
       * What connections, bodies and answers may take of a daemon's memory
       * together, in MiB; by default it follows from `host.memory_mib`.
       */
      caller_memory_mib: numberSchema.positive().optional(),
      /**
       * What header sections of many lines may take of it, in MiB; a quarter by
       * default, and no less than the largest one.
       */
      header_memory_mib: numberSchema.positive().optional(),
      /**
       * The factor by which requests to a cold endpoint may exceed the rate that
       * it tolerates, and the requests in a second beyond that. Without either
       * the requests to cold endpoints are not limited.
       */
      cold_excess: numberSchema.positive().optional(),
      cold_extra: numberSchema.nonnegative().optional(),
      /** The longest time that callers cache a directory reply, in s. */
      directory_ttl_max_s: numberSchema.positive().default(5),
    })
    .prefault({}),
  /** What the host of the daemon bears; unknown by default. */
  host: z
    .object({
      /** The share of a core. */
      cpu_share: numberSchema.positive().optional(),
      memory_mib: numberSchema.positive().optional(),
      descriptors: numberSchema.positive().optional(),
      /** The bandwidth of its own link, in Mbit/s. */
      link_mbps: numberSchema.positive().optional(),
    })
    .prefault({}),
  routing: z
    .object({
      /**
       * Whether the prefill that a cached prompt prefix saves is weighed against
       * the wait at the engines that may have it, from their memory and load.
       */
      weighs_cached_prefixes: z.boolean().default(false),
      /**
       * Whether requests may wait or be refused by rank and customer before their
       * first attempt. Off by default: many gateways before a small service serve
       * fewer requests with it (docs/design/fair_admission.md).
       */
      fair_admission: z.boolean().default(false),
    })
    .prefault({}),
  /** The contracts of the deployment that are in force, by their names. */
  contracts: z.array(z.string()).default([]),
  log: z
    .object({
      level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
      format: z.enum(['text', 'json']).default('json'),
    })
    .prefault({}),
});

/** Seeds that are no addresses are left out and counted. */
export const siteSettingsSchema = fileSchema.transform((file, context) => {
  const seeds = file.seeds.filter(isAddress);
  const refusedSeeds = file.seeds.length - seeds.length;
  // The founders of the group must agree on all of them.
  const isAllRequired = file.bootstrap && refusedSeeds > 0;
  if (seeds.length === 0 || isAllRequired) {
    context.addIssue({
      code: 'custom',
      path: ['seeds'],
      message: 'expected IP numbers with ports, such as "10.0.0.1:8080"',
    });
  }
  return {...file, seeds, refusedSeeds};
});

function isAddress(value: unknown): value is string {
  return addressSchema.safeParse(value).success;
}

export type SiteSettings = z.infer<typeof siteSettingsSchema>;
