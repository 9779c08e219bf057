/** Announcements of endpoints. Unknown fields are ignored. */
import * as z from 'zod';

/** The load that an endpoint reports; always somewhat out of date. */
export const loadSchema = z.object({
  running: z.int().nonnegative(),
  waiting: z.int().nonnegative(),
  /** The age of the measurement when it was sent. */
  ageMs: z.number().nonnegative().default(0),
});

/** An endpoint's announcement, repeated to renew its lease. */
export const announcementSchema = z.object({
  name: z.string().min(1),
  /** Differs after each restart of the endpoint. */
  incarnation: z.string().min(1),
  /** Where the endpoint accepts requests: an IP address and a port. */
  address: z.string().min(1),
  region: z.string().min(1),
  dataCentre: z.string().min(1),
  pool: z.string().min(1),
  /** Loaded versions as `model/version`; empty for a plain service. */
  versions: z.array(z.string()).default([]),
  /** The most requests that it runs concurrently. */
  slots: z.int().positive().default(16),
  /** The most versions it can load on request; 0 if it accepts no orders. */
  versionSlots: z.int().nonnegative().default(0),
  /** Whether it rejects orders with an outdated fencing number. */
  checksFencing: z.boolean().default(false),
  /** Whether it can resume a stream at an offset. */
  resumes: z.boolean().default(false),
  /** True once it is shutting down and accepts no new requests. */
  leaving: z.boolean().default(false),
  load: loadSchema.optional(),
});

export type Announcement = z.infer<typeof announcementSchema>;

/** An announcement as daemons relay it. */
export const endpointRecordSchema = announcementSchema.extend({
  /** Increases with each announcement of one incarnation. */
  sequence: z.int().nonnegative(),
  /** The remaining time of the lease when the record is sent. */
  leaseMs: z.number(),
});

export type EndpointRecord = z.infer<typeof endpointRecordSchema>;

/** A renewal as daemons relay it: the fields that change each time. */
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

/** How long an announcement is valid. */
export const ENDPOINT_LEASE_MS = 3_000;
