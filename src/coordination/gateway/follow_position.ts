/** How much of a core daemon's lists a gateway has. */
import type {FollowReply, FollowRequest} from '../../protocol/core_service.ts';

/** The last changes received from one run of one daemon. */
export type FollowPosition = Pick<
  FollowRequest,
  | 'epoch'
  | 'endpointRevision'
  | 'gatewayRevision'
  | 'limitRevision'
  | 'suspectRevision'
  | 'loadRevision'
>;

/** Before the first reply of a run of a daemon. */
export const INITIAL_POSITION: FollowPosition = {
  epoch: '',
  endpointRevision: 0,
  gatewayRevision: 0,
  limitRevision: 0,
  suspectRevision: 0,
  loadRevision: 0,
};

/** Reads the position after a reply. */
export function readPosition(reply: FollowReply): FollowPosition {
  const {epoch, endpointRevision, gatewayRevision} = reply;
  const {limitRevision, suspectRevision, loadRevision} = reply;
  return {
    epoch,
    endpointRevision,
    gatewayRevision,
    limitRevision,
    suspectRevision,
    loadRevision,
  };
}
