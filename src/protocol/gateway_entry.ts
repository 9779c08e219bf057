/** The entry of a gateway in the list from which callers are named addresses. */
import * as z from 'zod';
import {addressSchema} from './address.ts';
import {nameSchema} from './bounds.ts';

/** The largest capacity of a host, in percent of an ordinary one. */
export const MAX_HOST_CAPACITY = 100_000;

/** The highest level of slowness of a host. */
export const MAX_HOST_SLOWNESS = 4;

/** A gateway as it is advertised to callers. */
export const gatewaySchema = z.object({
  /** Its address for callers. */
  address: addressSchema,
  region: nameSchema,
  dataCentre: nameSchema,
  /** False while it is shutting down or has no configuration. */
  open: z.boolean(),
  /** Whether it serves nothing any more; absent from earlier versions. */
  stopped: z.boolean().optional(),
  /**
   * What its host bears in percent of an ordinary one; absent if that is unknown
   * and from earlier versions.
   */
  capacity: z.int().min(1).max(MAX_HOST_CAPACITY).optional(),
  /**
   * How slow its host is now: each level halves what it should be given. Absent if
   * it is not slow and from earlier versions.
   */
  slowness: z.int().min(0).max(MAX_HOST_SLOWNESS).optional(),
  /** Whether it had no requests lately; absent if not, and from earlier versions. */
  idle: z.boolean().optional(),
});

export type Gateway = z.infer<typeof gatewaySchema>;
