/**
 * Reports of endpoints to the daemons of a routing deployment.
 *
 * Another writer may report, too. The bounds keep a value that was accepted
 * usable wherever it is used: as an address, a header, a key and a number.
 */
import * as z from 'zod';
import {addressSchema} from './address.ts';
import {MAX_NAME_CHARACTERS, MAX_SLOTS, nameSchema} from './bounds.ts';

/**
 * The last Unix time in ms with 13 digits, in the year 2286. A later start would
 * replace all endpoints at its address.
 */
const MAX_START_MS = 9_999_999_999_999;

/** One day, in ms. */
const MAX_WARMUP_MS = 24 * 60 * 60_000;

/** A name that can be sent as a header. */
export const endpointIdSchema = z
  .string()
  .regex(/^[\x21-\x7e]+$/, {message: 'expected printable characters'})
  .max(MAX_NAME_CHARACTERS);

/** The start of an endpoint as Unix time in ms. */
export const startTimeSchema = z.int().min(0).max(MAX_START_MS);

export const endpointReportSchema = z.object({
  id: endpointIdSchema,
  service: nameSchema.min(1),
  /** Where it accepts requests. */
  address: addressSchema,
  dataCentre: nameSchema,
  /** The version of the software that it runs. */
  version: nameSchema,
  slots: z.int().min(0).max(MAX_SLOTS),
  state: z.enum(['ready', 'draining', 'gone']),
  /** Distinguishes instances with one id. */
  startedAtMs: startTimeSchema,
  /** Increases with each report of one instance. */
  sequence: z.int().min(0),
  /** The remaining warm-up time, during which it is slow, in ms. */
  warmupMs: z.number().min(0).max(MAX_WARMUP_MS),
});

export type EndpointReport = z.infer<typeof endpointReportSchema>;

/** An endpoint in a core daemon's registry. */
export const endpointEntrySchema = endpointReportSchema.extend({
  /** Whether its heartbeats are overdue. */
  silent: z.boolean(),
  /**
   * Whether its last report ended a silence, so that it may be older than others;
   * absent from earlier versions.
   */
  unconfirmed: z.boolean().optional(),
});

export type EndpointEntry = z.infer<typeof endpointEntrySchema>;
