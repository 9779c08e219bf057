/**
 * Records of what may crash endpoints, as daemons send them to each other: parts
 * of prompts, and whole requests.
 */
import * as z from 'zod';
import {ageSchema, nameSchema} from './bounds.ts';
import {createEntryList} from './parse_message.ts';

/** The longest id of a part; longer ones are cut, since callers choose them. */
export const MAX_PART_ID_CHARACTERS = 64;

/** Parts of one prompt that are watched at most. */
export const MAX_WATCHED_PARTS = 256;

/** Crashes that a record holds at most. */
export const MAX_PART_CRASHES = 16;

/** Customers that a record names. */
export const MAX_SUSPECT_CUSTOMERS = 2;

/** The assumed time of a request at an engine, in ms. */
const DEFAULT_EXPOSURE_MS = 1_000;

/** An engine that ended while it may have begun an answer on the part. */
export const partCrashSchema = z.object({
  /** One start of an endpoint. */
  start: z.string(),
  ageMs: ageSchema,
  /**
   * How long the request had been at the engine, in ms; earlier versions do not
   * tell.
   */
  exposureMs: ageSchema.default(DEFAULT_EXPOSURE_MS),
  /**
   * The time since the endpoint gave a sign of life after it seemed to end, in
   * ms; `null` if it gave none.
   */
  refutedAgeMs: ageSchema.nullable().default(null),
});

export const suspectSchema = z.object({
  service: z.string(),
  /** What it is: a part of a prompt, or a request that is sent repeatedly. */
  kind: z.enum(['part', 'request']).default('part'),
  /** The id of the part, or the identity of the request. */
  part: z.string(),
  /**
   * The customers whose requests endpoints ended with, at most two; the empty name
   * stands for callers without a key.
   */
  customers: z.array(nameSchema).max(MAX_SUSPECT_CUSTOMERS).default([]),
  /**
   * The length of the longest chain of crashes of which each request was sent
   * when the crash before was known.
   */
  level: z.int().nonnegative(),
  /** Whether its requests are withheld until the part is answered on. */
  isCondemned: z.boolean(),
  /** Those since the part was last answered on. */
  crashes: z.array(partCrashSchema).max(MAX_PART_CRASHES),
  /** The time since it was last answered on, in ms; `null` if it never was. */
  clearedAgeMs: ageSchema.nullable(),
});

export type SuspectRecord = z.infer<typeof suspectSchema>;

/** What may crash the endpoints of a service. */
export type SuspectId = Pick<SuspectRecord, 'kind' | 'part'>;

/** Asks for the permission to send one request with suspected parts. */
export const trialRequestSchema = z.object({
  service: z.string(),
  parts: z.array(z.string()),
  /** The identity of the request if it is suspected itself. */
  identity: z.string().nullable().default(null),
  /** What the gateway knows of them. */
  suspects: createEntryList(suspectSchema).default([]),
});

export type TrialRequest = z.infer<typeof trialRequestSchema>;

/** Lists the suspects of a trial. */
export function listTrialSuspects({
  parts,
  identity,
}: Pick<TrialRequest, 'parts' | 'identity'>): SuspectId[] {
  const ids: SuspectId[] = parts.map(part => ({kind: 'part', part}));
  if (identity !== null) ids.push({kind: 'request', part: identity});
  return ids;
}

export interface TrialReply {
  readonly isGranted: boolean;
  /** Identifies the granted trial; absent in replies of older daemons. */
  readonly trial?: number;
  /** What the core knows of the parts. */
  readonly suspects: readonly SuspectRecord[];
}

/** Ends a permitted request, with what it showed. */
export const trialResultSchema = trialRequestSchema.extend({
  /** The trial that ends; absent in messages of older gateways. */
  trial: z.int().optional(),
});

export type TrialResult = z.infer<typeof trialResultSchema>;
