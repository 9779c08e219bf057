/**
 * The schema of the operators' declaration, a TOML file.
 *
 * It declares customers, models, versions, services, pools, quality targets,
 * limits and roll-out plans, and is always replaced as a whole.
 */
import * as z from 'zod';

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, {
  message: 'expected a name of lower-case letters, digits, ".", "_" and "-"',
});

/** A version of a model, with its price and expected quality. */
export const versionSchema = z.strictObject({
  model: name,
  name,
  pool: name,
  /** Price in micro-units of currency per thousand prompt tokens. */
  prompt_price: z.number().nonnegative(),
  /** Price in micro-units of currency per thousand generated tokens. */
  completion_price: z.number().nonnegative(),
  /** The quality assumed until there are ratings, from 0 to 1. */
  expected_quality: z.number().min(0).max(1),
  /** True withdraws the version: it receives no new requests. */
  withdrawn: z.boolean().default(false),
});

/** A pool of endpoints that serve versions of models, or one service. */
export const poolSchema = z.strictObject({
  name,
  /** The concurrency limit of each endpoint in the pool. */
  concurrency: z.int().positive().default(16),
  /** The most requests queued for the pool at one gateway. */
  queue: z.int().nonnegative().default(64),
  /** How gateways that lost contact with the control group serve the pool. */
  when_isolated: z.enum(['refuse', 'serve_stable']).default('refuse'),
});

/** A call that a plain service accepts. */
export const callSchema = z.strictObject({
  method: z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** A path below the service: exact, or a prefix if it ends in `*`. */
  path: z.string().startsWith('/'),
  /** Whether a call with an unknown outcome may be retried. */
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
  /** The request class; `default` if the caller sends none. */
  class: name.default('default'),
  /** The minimum mean quality, from 0 to 1. */
  quality: z.number().min(0).max(1),
  /** The objective for the time to the first token. */
  first_token_ms: z.number().positive().default(450),
});

/** A customer with its permissions and limits. */
export const customerSchema = z.strictObject({
  name,
  /** SHA-256 of the customer's key, in hexadecimal. */
  key_sha256: z.string().regex(/^[0-9a-f]{64}$/, {
    message: 'expected the SHA-256 of a key: 64 hexadecimal digits',
  }),
  /** Versions as `model/version`, or `model/*` for all versions of a model. */
  versions: z.array(z.string().regex(/^[^/]+\/[^/]+$/)).default([]),
  services: z.array(name).default([]),
  targets: z.array(targetSchema).default([]),
  /** The weight for sharing contended capacity with other customers. */
  weight: z.number().positive().default(1),
  /** The customer's concurrency limit in each pool of a gateway. */
  concurrency: z.int().positive().default(64),
  /** Whether the customer's requests may explore unproven versions. */
  explore: z.boolean().default(false),
  /** How the customer's callers are exposed to new versions. */
  exposure: z.enum(['direct', 'gated', 'shadow']).default('direct'),
});

/** A staged roll-out of a new version that replaces a stable one. */
export const rolloutSchema = z.strictObject({
  model: name,
  /** The version that is rolled out. */
  version: name,
  /** The version that serves the rest, and all requests after a halt. */
  stable: name,
  /** Shares of traffic, increasing, each from 0 to 1. */
  stages: z.array(z.number().gt(0).max(1)).min(1),
  /** The minimum duration of a stage. */
  stage_s: z.number().positive().default(300),
  /** The minimum number of ratings before the next stage. */
  stage_ratings: z.int().nonnegative().default(20),
  /** The plan backs out after this time without progress. */
  deadline_s: z.number().positive().default(3600),
  /** A larger drop of mean quality below the stable version halts the plan. */
  tolerated_drop: z.number().min(0).max(1).default(0.05),
});

/** The whole declaration. */
export const declarationSchema = z.strictObject({
  /** Increases with every change; the same number implies equal content. */
  version: z.int().positive(),
  pools: z.array(poolSchema).default([]),
  versions: z.array(versionSchema).default([]),
  services: z.array(serviceSchema).default([]),
  customers: z.array(customerSchema).default([]),
  rollouts: z.array(rolloutSchema).default([]),
  placement: z
    .strictObject({
      /** The time an endpoint takes to load a version. */
      load_s: z.number().positive().default(30),
      /** The most concurrent loads in a pool, to protect the weight store. */
      concurrent_loads: z.int().positive().default(1),
    })
    .default({load_s: 30, concurrent_loads: 1}),
  ledger: z
    .strictObject({
      /** How long idempotency keys of settled requests are retained. */
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

/** Returns the name of a version across models, such as `draft/v2`. */
export function formatVersion(version: {model: string; name: string}): string {
  return `${version.model}/${version.name}`;
}
