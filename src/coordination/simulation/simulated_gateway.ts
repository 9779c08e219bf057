/** A gateway of a simulated site, and what the site remembers of it. */
import type {FollowRequest} from '../../protocol/core_service.ts';
import type {FakeGateway} from '../forwarding/forwarding_fakes.ts';

export interface SimulatedGateway {
  fake: FakeGateway;
  /** Whether it knows the configuration. */
  isReady: boolean;
  startedAt: number;
  disturbedAt: number;
  cutUntil: number;
  followAt: number;
  position: Pick<
    FollowRequest,
    | 'epoch'
    | 'endpointRevision'
    | 'gatewayRevision'
    | 'limitRevision'
    | 'suspectRevision'
  >;
  /** When an answer first named the limit, by endpoint. */
  told: Map<number, number>;
}
