/**
 * The route table of a deployment that routes raw HTTP requests: the services
 * for each host and path, the customers that may call them, and the limits.
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
  /** Starts and ends with a slash. The longest matching prefix wins. */
  pathPrefix: z.string(),
  /** Whether a request that may already have run can be retried. */
  repeatability: z.enum(['idempotent', 'not-repeatable', 'stream']),
  /** Whether another endpoint may resume a stream after its last event. */
  resumable: z.boolean(),
  /** The most endpoints to which one request may be sent. */
  maxAttempts: z.int().positive(),
  /** The total time that a request may take, in ms. */
  timeoutMs: z.number().positive(),
  /** The latency objective for the answer or its first event, in ms. */
  objectiveMs: z.number().nonnegative(),
  /** The objective for the gap between events, in ms. */
  gapObjectiveMs: z.number().nonnegative(),
  /** The priority; 0 is the highest. */
  priority: z.int().nonnegative(),
  /** Whether callers may omit the API key. */
  isPublic: z.boolean(),
  /** Candidate models, smallest first; empty if the caller names one. */
  models: z.array(z.string()),
  /** The only regions that may serve it; anywhere if absent or empty. */
  allowedRegions: z.array(z.string()).optional(),
  targets: z.array(routeTargetSchema).min(1),
});

export const engineSchema = z.object({
  /** Requests that one endpoint runs concurrently. */
  slots: z.int().positive(),
  /** Tokens that fit into the memory of one endpoint. */
  memoryTokens: z.number().positive(),
  /** Tokens in one event of a stream. */
  tokensPerEvent: z.number().positive(),
  models: z.array(
    z.object({name: z.string(), costPerThousandTokens: z.number()}),
  ),
});

/** How long endpoints are cold after a start, and what they bear then. */
export const coldStartSchema = z.object({
  durationMs: z.number().positive(),
  /** The requests per second that a cold endpoint tolerates. */
  perSecond: z.number().positive(),
});

export const serviceSchema = z.object({
  name: z.string(),
  /** Connections that one endpoint accepts from all daemons in total. */
  maxConnections: z.int().positive(),
  /** `null` unless the endpoints are model engines. */
  engine: engineSchema.nullable(),
  /** Absent if its endpoints are never cold. */
  coldStart: coldStartSchema.optional(),
});

export const routeCustomerSchema = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Overrides the priority of a route; `null` keeps it. */
  priority: z.int().nonnegative().nullable(),
  /** The only regions that may serve it; anywhere if absent or empty. */
  allowedRegions: z.array(z.string()).optional(),
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
  /** `null` if requests carry no API keys. */
  customers: z.array(routeCustomerSchema).nullable(),
  limits: requestLimitsSchema,
});

export type Route = z.infer<typeof routeSchema>;
export type ColdStart = z.infer<typeof coldStartSchema>;
export type Engine = z.infer<typeof engineSchema>;
export type RoutedService = z.infer<typeof serviceSchema>;
export type RouteCustomer = z.infer<typeof routeCustomerSchema>;
export type RequestLimits = z.infer<typeof requestLimitsSchema>;
export type RouteTable = z.infer<typeof routeTableSchema>;
