/** Commands of a ledger group: admissions, claims, session pins and bills. */
import * as z from 'zod';

/** The answer to a non-repeatable call, stored for retries. */
export const storedAnswerSchema = z.object({
  status: z.int(),
  contentType: z.string(),
  body: z.string(),
  /** The encoding of a binary body; absent if the body is text. */
  encoding: z.literal('base64').optional(),
});

export type StoredAnswer = z.infer<typeof storedAnswerSchema>;

/** The outcome of a request; `open` while it runs. */
export type LedgerStatus = 'open' | 'answered' | 'unknown' | 'not-run';

/** The cost of an answered request. */
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

/** A change to a ledger. Every command is idempotent by its key. */
export const ledgerCommandSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('admit'),
    requestId: z.string(),
    customer: z.string(),
    /** The caller's idempotency key, or the request id. */
    key: z.string(),
    /** SHA-256 of the request, to detect reuse of a key for another one. */
    digest: z.string(),
    repeatable: z.boolean(),
    /** The process that runs the request, as `name/incarnation`. */
    gateway: z.string(),
    session: z.string().optional(),
    /** The version to pin if the session has none. */
    version: z.string().optional(),
    /** Replaces the pin, because the pinned version must not be used. */
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
  /** Removes bills that an operator has exported. */
  z.object({type: z.literal('archive_bills'), through: z.int().nonnegative()}),
  z.object({
    type: z.literal('sweep'),
    /** Entries still open from before this time are settled as `unknown`. */
    openBeforeMs: z.number(),
    /** Settled entries from before this time are removed. */
    settledBeforeMs: z.number(),
    /** Open entries of these gateways are settled as `unknown`. */
    lostGateways: z.array(z.string()),
    atMs: z.number(),
  }),
]);

export type LedgerCommand = z.infer<typeof ledgerCommandSchema>;

/** The result of a ledger command. */
export type LedgerResult =
  | {
      readonly type: 'admitted';
      /** The version that the session is pinned to. */
      readonly pinned?: string;
      /** Whether an earlier run with this key was billed. */
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
  /** Position in the ledger; increases and is never reused. */
  readonly sequence: number;
  readonly requestId: string;
  readonly customer: string;
  readonly key: string;
  readonly atMs: number;
}

/** A page of the bills of one ledger shard, oldest first. */
export interface LedgerPage {
  readonly bills: readonly BillRecord[];
  /** The sequence number after which the next page starts. */
  readonly cursor: number;
  /** False when more bills follow. */
  readonly complete: boolean;
  /** Bills up to this one were archived and removed. */
  readonly archivedThrough: number;
}

/** Statistics of one ledger shard. */
export interface LedgerSummary {
  readonly openEntries: number;
  readonly settledEntries: number;
  readonly pins: number;
  /** The total size of the stored answers. */
  readonly answerBytes: number;
  /** Totals by customer, in micro-units of currency. */
  readonly totals: Readonly<Record<string, number>>;
}

/** A page of bills as returned to an operator. */
export interface BillPage extends LedgerPage {
  /** The number of ledger shards, each of which has its own bills. */
  readonly shards: number;
}
