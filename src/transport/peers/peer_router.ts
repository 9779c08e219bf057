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

/** The names of the calls. */
export const PEER_CALLS = Object.keys(peerSchemas) as Array<keyof PeerService>;

/** Creates the router that passes each call on to `service`. */
export function createPeerRouter(service: PeerService) {
  const procedures = PEER_CALLS.map(call => {
    const serve = service[call].bind(service) as (
      input: unknown,
    ) => Promise<unknown>;
    const procedure = peerProcedure
      .input(peerSchemas[call])
      .mutation(({input}) => serve(input));
    return [call, procedure] as const;
  });
  return trpc.router(Object.fromEntries(procedures));
}
