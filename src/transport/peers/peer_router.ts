/** Serves the calls of other daemons through tRPC over WebSockets. */
import {initTRPC, TRPCError} from '@trpc/server';
import {peerSchemas, type PeerService} from '../../protocol/peer_service.ts';

/** What is known of the daemon at the other end of a connection. */
export interface PeerConnection {
  /** Whether it proved that it knows the peers' secret. */
  readonly authenticated: boolean;
}

const trpc = initTRPC.context<PeerConnection>().create();

const peerProcedure = trpc.procedure.use(({ctx, next}) => {
  if (!ctx.authenticated) throw new TRPCError({code: 'UNAUTHORIZED'});
  return next();
});

/** Creates the router that passes each call on to `service`. */
export function createPeerRouter(service: PeerService) {
  return trpc.router({
    vote: peerProcedure
      .input(peerSchemas.vote)
      .mutation(({input}) => service.vote(input)),
    append: peerProcedure
      .input(peerSchemas.append)
      .mutation(({input}) => service.append(input)),
    propose: peerProcedure
      .input(peerSchemas.propose)
      .mutation(({input}) => service.propose(input)),
    renewLease: peerProcedure
      .input(peerSchemas.renewLease)
      .mutation(({input}) => service.renewLease(input)),
    grantLeases: peerProcedure
      .input(peerSchemas.grantLeases)
      .mutation(({input}) => service.grantLeases(input)),
    listLeaseHolders: peerProcedure
      .input(peerSchemas.listLeaseHolders)
      .mutation(({input}) => service.listLeaseHolders(input)),
    readLedger: peerProcedure
      .input(peerSchemas.readLedger)
      .mutation(({input}) => service.readLedger(input)),
    listEndpoints: peerProcedure
      .input(peerSchemas.listEndpoints)
      .mutation(({input}) => service.listEndpoints(input)),
    checkInForce: peerProcedure
      .input(peerSchemas.checkInForce)
      .mutation(({input}) => service.checkInForce(input)),
    reportEvidence: peerProcedure
      .input(peerSchemas.reportEvidence)
      .mutation(({input}) => service.reportEvidence(input)),
    exchange: peerProcedure
      .input(peerSchemas.exchange)
      .mutation(({input}) => service.exchange(input)),
  });
}

export type PeerRouter = ReturnType<typeof createPeerRouter>;
