/** Commands of a ledger group: admissions, claims, session pins and bills. */
import * as z from 'zod';

/** The answer of a call that may not be repeated, kept for retries. */
export const storedAnswerSchema = z.object({
  status: z.int(),
  contentType: z.string(),
  body: z.string(),
  /** How bytes that are no text are written down. */
  encoding: z.literal('base64').optional(),
});

export type StoredAnswer = z.infer<typeof storedAnswerSchema>;

/** How a request ended, or `open` while it has not. */
export type LedgerStatus = 'open' | 'answered' | 'unknown' | 'not-run';

/** What an answered request cost. */
export const billSchema = z.object({
  /** The version as `model/version`, or the service's name. */
  target: z.string(),
  endpoint: z.string(),
  promptTokens: z.int().nonnegative(),
  completionTokens: z.int().nonnegative(),
  /** In micro-units of currency. */
  cost: z.number().nonnegative(),
});

export type Bill = z.infer<typeof billSchema>;

/** A change of a ledger. Every command is idempotent by its key. */
export const ledgerCommandSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('admit'),
    requestId: z.string(),
    customer: z.string(),
    /** The caller's idempotency key, or the request id. */
    key: z.string(),
    /** SHA-256 of the request, so that a key is not used for two. */
    digest: z.string(),
    repeatable: z.boolean(),
    /** The process that runs it, as `name/incarnation`. */
    gateway: z.string(),
    session: z.string().optional(),
    /** The version to pin when the session has none. */
    version: z.string().optional(),
    /** Replaces the pin: the pinned version is not to be used any more. */
    repin: z.boolean().default(false),
    atMs: z.number(),
  }),
  z.object({
    type: z.literal('settle'),
    requestId: z.string(),
    customer: z.string(),
    key: z.string(),
    status: z.enum(['answered', 'unknown', 'not-run']),
    bill: billSchema.optional(),
    answer: storedAnswerSchema.optional(),
    atMs: z.number(),
  }),
  /** Reads or sets a session's pin, in the shard of the session. */
  z.object({
    type: z.literal('pin'),
    customer: z.string(),
    session: z.string(),
    version: z.string().optional(),
    repin: z.boolean().default(false),
    atMs: z.number(),
  }),
  /** Gives up bills that an operator has exported. */
  z.object({type: z.literal('archive_bills'), through: z.int().nonnegative()}),
  z.object({
    type: z.literal('sweep'),
    /** Entries still open from before this time are settled as `unknown`. */
    openBeforeMs: z.number(),
    /** Settled entries from before this time are forgotten. */
    settledBeforeMs: z.number(),
    /** Open entries of these gateways are settled as `unknown`. */
    lostGateways: z.array(z.string()),
    atMs: z.number(),
  }),
]);

export type LedgerCommand = z.infer<typeof ledgerCommandSchema>;

/** What became of a ledger command. */
export type LedgerResult =
  | {
      readonly type: 'admitted';
      /** The version that the session is pinned to. */
      readonly pinned?: string;
      /** True when this key was billed by an earlier run. */
      readonly billed: boolean;
    }
  | {readonly type: 'answered'; readonly answer?: StoredAnswer}
  | {readonly type: 'open'}
  | {readonly type: 'unknown'}
  | {readonly type: 'mismatch'}
  | {readonly type: 'settled'; readonly billed: boolean}
  | {readonly type: 'pinned'; readonly pinned?: string}
  | {readonly type: 'archived'; readonly through: number}
  | {readonly type: 'swept'; readonly count: number};

/** A bill as `bills export` prints it. */
export interface BillRecord extends Bill {
  /** Position in the ledger; grows without reuse. */
  readonly sequence: number;
  readonly requestId: string;
  readonly customer: string;
  readonly key: string;
  readonly atMs: number;
}

/** A part of the bills of one ledger shard, oldest first. */
export interface LedgerPage {
  readonly bills: readonly BillRecord[];
  /** The sequence number to read on after. */
  readonly cursor: number;
  /** False when more bills follow. */
  readonly complete: boolean;
  /** Bills up to this one were archived and are held no longer. */
  readonly archivedThrough: number;
}

/** Figures of one ledger shard. */
export interface LedgerSummary {
  readonly openEntries: number;
  readonly settledEntries: number;
  readonly pins: number;
  /** Bytes of the stored answers. */
  readonly answerBytes: number;
  /** Totals by customer, in micro-units of currency. */
  readonly totals: Readonly<Record<string, number>>;
}

/** A page as an operator gets it. */
export interface BillPage extends LedgerPage {
  /** The count of ledger shards, each of which has bills of its own. */
  readonly shards: number;
}
