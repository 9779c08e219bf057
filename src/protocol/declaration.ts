/**
 * The operators' declaration: one whole TOML file that says what runs.
 *
 * It names customers, models, versions, services, pools, quality targets,
 * limits and roll-out plans. The types are inferred from the schemas.
 */
import * as z from 'zod';

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, {
  message: 'expected a name of lower-case letters, digits, ".", "_" and "-"',
});

/** One version of a model, with what is known of its price and quality. */
export const versionSchema = z.strictObject({
  model: name,
  name,
  pool: name,
  /** Price in micro-units of currency per thousand prompt tokens. */
  prompt_price: z.number().nonnegative(),
  /** Price in micro-units of currency per thousand generated tokens. */
  completion_price: z.number().nonnegative(),
  /** The quality expected before ratings arrive, from 0 to 1. */
  expected_quality: z.number().min(0).max(1),
  /** False withdraws the version: it receives no new work. */
  withdrawn: z.boolean().default(false),
});

/** A pool: the endpoints that serve some versions or one service. */
export const poolSchema = z.strictObject({
  name,
  /** The most requests one endpoint of the pool runs at once. */
  concurrency: z.int().positive().default(16),
  /** The most requests that wait for the pool at one gateway. */
  queue: z.int().nonnegative().default(64),
  /** What gateways cut off from the control group do for this pool. */
  when_isolated: z.enum(['refuse', 'serve_stable']).default('refuse'),
});

/** One kind of call of a plain service. */
export const callSchema = z.strictObject({
  method: z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** A path below the service, exact, or a prefix when it ends in `*`. */
  path: z.string().startsWith('/'),
  /** Whether a call may be sent again after an unknown outcome. */
  repeatable: z.boolean().default(false),
  /** Price in micro-units of currency per call. */
  price: z.number().nonnegative().default(0),
});

/** A plain service, such as a booking application. */
export const serviceSchema = z.strictObject({
  name,
  pool: name,
  calls: z.array(callSchema).min(1),
});

/** A quality target for a class of requests. */
export const targetSchema = z.strictObject({
  /** The request class, `default` where the caller names none. */
  class: name.default('default'),
  /** The lowest acceptable mean quality, from 0 to 1. */
  quality: z.number().min(0).max(1),
  /** The time to the first token that the customer expects. */
  first_token_ms: z.number().positive().default(450),
});

/** A customer, what it may use and how much. */
export const customerSchema = z.strictObject({
  name,
  /** SHA-256 of the customer's key, in hexadecimal. */
  key_sha256: z.string().regex(/^[0-9a-f]{64}$/, {
    message: 'expected the SHA-256 of a key: 64 hexadecimal digits',
  }),
  /** Versions as `model/version`, or `model/*` for all of a model. */
  versions: z.array(z.string().regex(/^[^/]+\/[^/]+$/)).default([]),
  services: z.array(name).default([]),
  targets: z.array(targetSchema).default([]),
  /** The share of contended capacity relative to other customers. */
  weight: z.number().positive().default(1),
  /** The most requests of the customer at once, in each pool of a gateway. */
  concurrency: z.int().positive().default(64),
  /** Whether exploration of unproven versions is allowed. */
  explore: z.boolean().default(false),
  /** How new versions reach the customer's callers. */
  exposure: z.enum(['direct', 'gated', 'shadow']).default('direct'),
});

/** A staged roll-out of a new version in place of a stable one. */
export const rolloutSchema = z.strictObject({
  model: name,
  /** The version that is rolled out. */
  version: name,
  /** The version that serves the rest and takes over on a halt. */
  stable: name,
  /** Shares of traffic, growing, each from 0 to 1. */
  stages: z.array(z.number().gt(0).max(1)).min(1),
  /** How long a stage lasts at least. */
  stage_s: z.number().positive().default(300),
  /** The ratings a stage needs before the next one. */
  stage_ratings: z.int().nonnegative().default(20),
  /** After this long without progress the plan backs out. */
  deadline_s: z.number().positive().default(3600),
  /** A drop of mean quality below the stable version that halts. */
  tolerated_drop: z.number().min(0).max(1).default(0.05),
});

/** The whole declaration. */
export const declarationSchema = z.strictObject({
  /** Grows with every change; the same number means the same content. */
  version: z.int().positive(),
  pools: z.array(poolSchema).default([]),
  versions: z.array(versionSchema).default([]),
  services: z.array(serviceSchema).default([]),
  customers: z.array(customerSchema).default([]),
  rollouts: z.array(rolloutSchema).default([]),
  placement: z
    .strictObject({
      /** How long an endpoint takes to load a version. */
      load_s: z.number().positive().default(30),
      /** How many loads a pool may run at once, for the weight store's sake. */
      concurrent_loads: z.int().positive().default(1),
    })
    .default({load_s: 30, concurrent_loads: 1}),
  ledger: z
    .strictObject({
      /** How long keys of settled requests are remembered. */
      retention_s: z.number().positive().default(86_400),
    })
    .default({retention_s: 86_400}),
});

export type Version = z.infer<typeof versionSchema>;
export type Pool = z.infer<typeof poolSchema>;
export type Call = z.infer<typeof callSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type Target = z.infer<typeof targetSchema>;
export type Customer = z.infer<typeof customerSchema>;
export type RolloutPlan = z.infer<typeof rolloutSchema>;
export type Declaration = z.infer<typeof declarationSchema>;

/** The name of a version across models, such as `draft/v2`. */
export function formatVersion(version: {model: string; name: string}): string {
  return `${version.model}/${version.name}`;
}
