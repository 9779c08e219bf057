/** The options of a stand-in process: one JSON object as its argument. */
import * as z from 'zod';

export const standInOptionsSchema = z.object({
  name: z.string(),
  /** The IP number and port to listen on. */
  address: z.string(),
  /** What daemons use instead, behind a proxy. */
  advertise: z.string().optional(),
  region: z.string(),
  dataCentre: z.string(),
  pool: z.string(),
  versions: z.array(z.string()).default([]),
  slots: z.int().default(16),
  /** The most versions that orders may load; 0 takes no orders. */
  versionSlots: z.int().default(0),
  /** How long a load takes. */
  loadMs: z.number().default(200),
  /** Whether orders with an old fencing number are refused. */
  checksFencing: z.boolean().default(false),
  daemons: z.array(z.string()),
  secret: z.string(),
  /** A file that keeps the runs when the process ends. */
  recordFile: z.string().optional(),
  /** Tokens of an answer where the request sets no smaller limit. */
  tokens: z.int().default(20),
  /** The time to the first token. */
  firstTokenMs: z.number().default(5),
  /** The time between tokens. */
  tokenMs: z.number().default(2),
  /** Versions that answer every request with an error. */
  failing: z.array(z.string()).default([]),
  /** Whether a stream can be resumed at an offset. */
  resumes: z.boolean().default(true),
});

export type StandInOptions = z.infer<typeof standInOptionsSchema>;

/** Reads the options from the command line. */
export function readStandInOptions(): StandInOptions {
  return standInOptionsSchema.parse(JSON.parse(process.argv[2] ?? '{}'));
}
