/** The commands in the replicated log of a routing deployment. */
import type {ServiceRollout} from './core_service.ts';

export type RoutingCommand =
  | {
      readonly type: 'replace';
      readonly version: number;
      readonly document: string;
    }
  | {
      readonly type: 'begin_rollout';
      readonly service: string;
      readonly target: string;
      readonly durationMs: number;
      readonly atMs: number;
    }
  | {
      readonly type: 'set_share';
      readonly service: string;
      readonly target: string;
      readonly share: number;
      readonly movesSessions: boolean;
    }
  | {
      readonly type: 'finish_rollout';
      readonly service: string;
      readonly target: string;
      readonly state: 'complete' | 'reverted';
    };

export type RoutingResult =
  /** Applied, or already superseded by something newer. */
  | {readonly type: 'accepted'}
  | {readonly type: 'rollout'; readonly rollout: ServiceRollout}
  /** Another roll-out of the service is running. */
  | {readonly type: 'conflict'; readonly rollout: ServiceRollout};
