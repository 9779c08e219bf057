/** The commands in the replicated log of a routing deployment. */
import * as z from 'zod';
import {nameSchema} from './bounds.ts';
import type {ServiceRollout} from './core_service.ts';

const rolloutTargetSchema = z.object({
  service: nameSchema,
  target: nameSchema,
});

export const routingCommandSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('replace'),
    version: z.number(),
    document: z.string(),
  }),
  rolloutTargetSchema.extend({
    type: z.literal('begin_rollout'),
    durationMs: z.number(),
    atMs: z.number(),
  }),
  rolloutTargetSchema.extend({
    type: z.literal('set_share'),
    share: z.number().min(0).max(1),
    movesSessions: z.boolean(),
  }),
  rolloutTargetSchema.extend({
    type: z.literal('finish_rollout'),
    state: z.enum(['complete', 'reverted']),
  }),
  // Unlike versions, drains have no order of their own: the log decides.
  z.object({
    type: z.literal('set_drain'),
    dataCentre: nameSchema,
    isDrained: z.boolean(),
  }),
]);

export type RoutingCommand = z.infer<typeof routingCommandSchema>;

export type RoutingResult = (
  | /** Applied, or already superseded by something newer. */ {
      readonly type: 'accepted';
    }
  | {readonly type: 'rollout'; readonly rollout: ServiceRollout}
  /** Another roll-out of the service is running. */
  | {readonly type: 'conflict'; readonly rollout: ServiceRollout}
) & {
  /**
   * The revision of the configuration once the command was applied; absent from
   * leaders of earlier versions.
   */
  readonly revision?: number;
};
