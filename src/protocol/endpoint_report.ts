/** What endpoints say of themselves to the daemons of a deployment. */
import * as z from 'zod';

export const endpointReportSchema = z.object({
  id: z.string().min(1),
  service: z.string().min(1),
  /** Where it serves: an IP number and a port. */
  address: z.string().min(1),
  dataCentre: z.string(),
  /** The version of its software. */
  version: z.string(),
  slots: z.number().nonnegative(),
  state: z.enum(['ready', 'draining', 'gone']),
  /** The Unix time of its start in ms; tells two starts under one id apart. */
  startedAtMs: z.number(),
  /** Grows with each report of one start. */
  sequence: z.number(),
  /** How much longer it stays slow after its start, in ms. */
  warmupMs: z.number().nonnegative(),
});

export type EndpointReport = z.infer<typeof endpointReportSchema>;

/** An endpoint as a daemon of the core knows it. */
export const endpointEntrySchema = endpointReportSchema.extend({
  /** Whether its heartbeats have stopped. */
  silent: z.boolean(),
});

export type EndpointEntry = z.infer<typeof endpointEntrySchema>;
