/** A gateway of a simulated site, and what the site remembers of it. */
import type {Clock} from '../../protocol/clock.ts';
import type {FakeGateway} from '../forwarding/forwarding_fakes.ts';
import {
  INITIAL_POSITION,
  type FollowPosition,
} from '../gateway/follow_position.ts';
import type {LinkFault} from './simulated_site_types.ts';

export interface SimulatedGateway {
  fake: FakeGateway;
  /** Whether it knows the configuration. */
  isReady: boolean;
  startedAt: number;
  disturbedAt: number;
  cutUntil: number;
  followAt: number;
  /** Breaks its open connections to endpoints when it aborts. */
  links: AbortController;
  /** How its new connections to endpoints fail; `null` if they do not. */
  linkFault: LinkFault | null;
  position: FollowPosition;
  /** When an answer first named the limit, by endpoint. */
  told: Map<number, number>;
}

export interface CreateSimulatedGatewayOptions {
  readonly clock: Clock;
  readonly isReady: boolean;
  /** When it first follows the core, on the simulated clock. */
  readonly followAt: number;
}

/** Creates a gateway that has not followed the core yet. */
export function createSimulatedGateway(
  fake: FakeGateway,
  {clock, isReady, followAt}: CreateSimulatedGatewayOptions,
): SimulatedGateway {
  return {
    fake,
    isReady,
    startedAt: clock.monotonic(),
    disturbedAt: -Infinity,
    cutUntil: -Infinity,
    followAt,
    links: new AbortController(),
    linkFault: null,
    position: INITIAL_POSITION,
    told: new Map(),
  };
}
