/** Announcements of endpoints. Unknown fields are ignored. */
import * as z from 'zod';
import {addressSchema} from './address.ts';
import {ageSchema, countSchema, MAX_SLOTS, nameSchema} from './bounds.ts';

/** The most versions that one endpoint may name. */
const MAX_VERSIONS = 1_000;

/** Longer than any lease that a daemon grants. */
const MAX_LEASE_MS = 60_000;

/** The load that an endpoint reports; always somewhat out of date. */
export const loadSchema = z.object({
  running: countSchema,
  waiting: countSchema,
  /** The age of the measurement when it was sent. */
  ageMs: ageSchema.min(0).default(0),
});

/** An endpoint's announcement, repeated to renew its lease. */
export const announcementSchema = z.object({
  name: nameSchema.min(1),
  /** Differs after each restart of the endpoint. */
  incarnation: nameSchema.min(1),
  /** Where the endpoint accepts requests. */
  address: addressSchema,
  region: nameSchema.min(1),
  dataCentre: nameSchema.min(1),
  pool: nameSchema.min(1),
  /** Loaded versions as `model/version`; empty for a plain service. */
  versions: z.array(nameSchema).max(MAX_VERSIONS).default([]),
  /** The most requests that it runs concurrently. */
  slots: z.int().min(1).max(MAX_SLOTS).default(16),
  /** The most versions it can load on request; 0 if it accepts no orders. */
  versionSlots: z.int().min(0).max(MAX_SLOTS).default(0),
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
  leaseMs: z.number().min(-MAX_LEASE_MS).max(MAX_LEASE_MS),
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
