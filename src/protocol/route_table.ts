/**
 * The configuration of a deployment that routes raw HTTP requests: which
 * service answers which host and path, who may call it, and within what limits.
 *
 * A table is replaced as a whole by one with a higher version.
 */
import * as z from 'zod';

/** A share of a route's requests that goes to one service. */
export const routeTargetSchema = z.object({
  service: z.string(),
  weight: z.number().nonnegative(),
});

export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. The longest matching prefix wins. */
  pathPrefix: z.string(),
  /** What may be done with a request that may have run already. */
  repeatability: z.enum(['idempotent', 'not-repeatable', 'stream']),
  /** Whether a stream may go on elsewhere after its last event. */
  resumable: z.boolean(),
  /** The most endpoints to which one request may be sent. */
  maxAttempts: z.int().positive(),
  /** The longest time that a request may be kept, in ms. */
  timeoutMs: z.number().positive(),
  /** The latency objective, up to the answer or its first event, in ms. */
  objectiveMs: z.number().nonnegative(),
  /** The longest pause between events that is still on time, in ms. */
  gapObjectiveMs: z.number().nonnegative(),
  /** The rank; 0 goes first. */
  priority: z.int().nonnegative(),
  /** Whether callers need no key. */
  isPublic: z.boolean(),
  /** Models that may answer, smallest first; empty if the caller names one. */
  models: z.array(z.string()),
  targets: z.array(routeTargetSchema).min(1),
});

export const engineSchema = z.object({
  /** Requests that run at once on one endpoint. */
  slots: z.int().positive(),
  /** Tokens that fit into the memory of one endpoint. */
  memoryTokens: z.number().positive(),
  /** Tokens in one event of a stream. */
  tokensPerEvent: z.number().positive(),
  models: z.array(
    z.object({name: z.string(), costPerThousandTokens: z.number()}),
  ),
});

export const serviceSchema = z.object({
  name: z.string(),
  /** Connections that one endpoint accepts from all daemons together. */
  maxConnections: z.int().positive(),
  /** Present where the endpoints are model engines. */
  engine: engineSchema.nullable(),
});

export const routeCustomerSchema = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Takes precedence over the rank of a route. */
  priority: z.int().nonnegative().nullable(),
});

export const requestLimitsSchema = z.object({
  maxHeaderBytes: z.int().positive(),
  maxBodyBytes: z.int().positive(),
  headerTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive(),
});

export const routeTableSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  /** `null` where requests carry no keys. */
  customers: z.array(routeCustomerSchema).nullable(),
  limits: requestLimitsSchema,
});

export type Route = z.infer<typeof routeSchema>;
export type Engine = z.infer<typeof engineSchema>;
export type RoutedService = z.infer<typeof serviceSchema>;
export type RouteCustomer = z.infer<typeof routeCustomerSchema>;
export type RequestLimits = z.infer<typeof requestLimitsSchema>;
export type RouteTable = z.infer<typeof routeTableSchema>;
