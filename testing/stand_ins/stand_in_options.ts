/** Options of a stand-in process, passed as a JSON argument. */
import * as z from 'zod';

export const standInOptionsSchema = z.object({
  name: z.string(),
  /** The IP address and port to listen on. */
  address: z.string(),
  /** The announced address, if it differs: the proxy's. */
  advertise: z.string().optional(),
  region: z.string(),
  dataCentre: z.string(),
  pool: z.string(),
  versions: z.array(z.string()).default([]),
  slots: z.int().default(16),
  /** The maximum number of loaded versions; 0 refuses all load orders. */
  versionSlots: z.int().default(0),
  /** The time a load takes. */
  loadMs: z.number().default(200),
  /** Whether orders with an outdated fencing number are refused. */
  checksFencing: z.boolean().default(false),
  daemons: z.array(z.string()),
  secret: z.string(),
  /** A file that records the runs across restarts. */
  recordFile: z.string().optional(),
  /** Tokens per answer, unless the request sets a smaller limit. */
  tokens: z.int().default(20),
  /** The time to the first token. */
  firstTokenMs: z.number().default(5),
  /** The time between tokens. */
  tokenMs: z.number().default(2),
  /** Versions that answer every request with status 500. */
  failing: z.array(z.string()).default([]),
  /** Whether a stream can be resumed at an offset. */
  resumes: z.boolean().default(true),
});

export type StandInOptions = z.infer<typeof standInOptionsSchema>;

/** Parses the options from the command line. */
export function readStandInOptions(): StandInOptions {
  return standInOptionsSchema.parse(JSON.parse(process.argv[2] ?? '{}'));
}
