/** How core daemons ask each other which gateways have a change. */
import * as z from 'zod';
import {addressSchema} from './address.ts';
import {ageSchema, nameSchema} from './bounds.ts';
import {endpointReportSchema} from './endpoint_report.ts';
import {createEntryList} from './parse_message.ts';

/** The longest time that a reply may be delayed, in ms. */
const MAX_WAIT_MS = 5_000;

/** Asks which followers of a daemon have a change. */
export const confirmRequestSchema = z.object({
  /** The revision of the configuration; 0 if it is about endpoints alone. */
  configurationRevision: z.int().nonnegative(),
  /** The last reports of endpoints that leave, which the daemon records. */
  departures: createEntryList(endpointReportSchema),
  /**
   * What followers must have besides: a revision that the daemon told in reply to an
   * earlier question, in the run that it told; absent from earlier versions.
   */
  required: z
    .object({run: z.string(), endpointRevision: z.int().nonnegative()})
    .optional(),
  /** How long the reply may be delayed until all have it, in ms. */
  waitMs: z.number().nonnegative().max(MAX_WAIT_MS),
});

export type ConfirmRequest = z.infer<typeof confirmRequestSchema>;

/** What the last call of a gateway to a daemon confirmed. */
export const confirmationSchema = z.object({
  /** Its address for callers. */
  address: addressSchema,
  /** Identifies its run; absent from earlier versions of either. */
  run: nameSchema.optional(),
  isConfirmed: z.boolean(),
  /** The time since that call, in ms. */
  ageMs: ageSchema.min(0),
  /**
   * The revisions that it has: of the configuration, and of the daemon's list of
   * endpoints in this run; absent from daemons of earlier versions.
   */
  configurationRevision: z.int().nonnegative().optional(),
  endpointRevision: z.int().nonnegative().optional(),
});

export type Confirmation = z.infer<typeof confirmationSchema>;

export const confirmReplySchema = z.object({
  /** Whether the daemon has the change itself. */
  isHeld: z.boolean(),
  followers: createEntryList(confirmationSchema),
  /** Identifies the run of the daemon; absent from earlier versions. */
  run: z.string().optional(),
  /** The revision of its configuration; absent from earlier versions. */
  configurationRevision: z.int().nonnegative().optional(),
  /**
   * The revision of its list of endpoints that has the departures of the request;
   * absent from earlier versions.
   */
  endpointRevision: z.int().nonnegative().optional(),
  /**
   * The revision up to which its disk holds its list of endpoints; absent from earlier
   * versions, which do not tell what their disks hold.
   */
  savedRevision: z.int().nonnegative().optional(),
  /** Whether the daemon reads `required`; absent from earlier versions. */
  readsRequired: z.boolean().optional(),
});

export type ConfirmReply = z.infer<typeof confirmReplySchema>;
