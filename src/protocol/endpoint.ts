/** What endpoints say of themselves. Unknown fields are tolerated. */
import * as z from 'zod';

/** The load that an endpoint reports; it lags behind the truth. */
export const loadSchema = z.object({
  running: z.int().nonnegative(),
  waiting: z.int().nonnegative(),
  /** When the endpoint took the reading, milliseconds before it was sent. */
  ageMs: z.number().nonnegative().default(0),
});

/** An endpoint's announcement, repeated to renew its lease. */
export const announcementSchema = z.object({
  name: z.string().min(1),
  /** Differs after each restart of the endpoint. */
  incarnation: z.string().min(1),
  /** Where the endpoint takes work: an IP number and a port. */
  address: z.string().min(1),
  region: z.string().min(1),
  dataCentre: z.string().min(1),
  pool: z.string().min(1),
  /** Loaded versions as `model/version`; empty for a plain service. */
  versions: z.array(z.string()).default([]),
  /** The most requests that it runs at once. */
  slots: z.int().positive().default(16),
  /** The most versions that it can load by order; 0 takes no orders. */
  versionSlots: z.int().nonnegative().default(0),
  /** Whether it refuses orders with an old fencing number. */
  checksFencing: z.boolean().default(false),
  /** Whether a stream can be resumed at an offset. */
  resumes: z.boolean().default(false),
  /** True from the moment it wants no new work. */
  leaving: z.boolean().default(false),
  load: loadSchema.optional(),
});

export type Announcement = z.infer<typeof announcementSchema>;

/** An announcement as daemons pass it on. */
export const endpointRecordSchema = announcementSchema.extend({
  /** Grows with each announcement of one incarnation. */
  sequence: z.int().nonnegative(),
  /** What is left of the lease when the record is sent. */
  leaseMs: z.number(),
});

export type EndpointRecord = z.infer<typeof endpointRecordSchema>;

/** A renewal as daemons pass it on: all that a known record lacks. */
export const endpointRenewalSchema = endpointRecordSchema.pick({
  name: true,
  incarnation: true,
  sequence: true,
  leaseMs: true,
  load: true,
});

export type EndpointRenewal = z.infer<typeof endpointRenewalSchema>;

/** How often an endpoint announces itself. */
export const ANNOUNCE_INTERVAL_MS = 1_000;

/** How long an announcement is believed. */
export const ENDPOINT_LEASE_MS = 3_000;
