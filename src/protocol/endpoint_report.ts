/** Reports of endpoints to the daemons of a routing deployment. */
import * as z from 'zod';

export const endpointReportSchema = z.object({
  id: z.string().min(1),
  service: z.string().min(1),
  /** Where it accepts requests: an IP address and a port. */
  address: z.string().min(1),
  dataCentre: z.string(),
  /** The version of the software that it runs. */
  version: z.string(),
  slots: z.number().nonnegative(),
  state: z.enum(['ready', 'draining', 'gone']),
  /** Its start as Unix time in ms; distinguishes instances with one id. */
  startedAtMs: z.number(),
  /** Increases with each report of one instance. */
  sequence: z.number(),
  /** The remaining warm-up time, during which it is slow, in ms. */
  warmupMs: z.number().nonnegative(),
});

export type EndpointReport = z.infer<typeof endpointReportSchema>;

/** An endpoint in a core daemon's registry. */
export const endpointEntrySchema = endpointReportSchema.extend({
  /** Whether its heartbeats are overdue. */
  silent: z.boolean(),
});

export type EndpointEntry = z.infer<typeof endpointEntrySchema>;
