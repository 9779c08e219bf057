/** Routes the calls of other daemons, using tRPC over WebSockets. */
import {initTRPC, TRPCError} from '@trpc/server';
import type {z} from 'zod';

/** Context of a connection from another daemon. */
export interface PeerConnection {
  /** Whether the daemon presented the peers' shared secret. */
  readonly authenticated: boolean;
}

const trpc = initTRPC.context<PeerConnection>().create();

const peerProcedure = trpc.procedure.use(({ctx, next}) => {
  if (!ctx.authenticated) throw new TRPCError({code: 'UNAUTHORIZED'});
  return next();
});

/** Request schemas by the name of the call. */
export type CallSchemas = Readonly<Record<string, z.ZodType>>;

/** A service whose calls each take one request. */
export type Callable<S> = {
  [K in keyof S]: (request: never) => Promise<unknown>;
};

/** Creates the router that validates calls and forwards them to `service`. */
export function createPeerRouter<S extends Callable<S>>(
  service: S,
  schemas: CallSchemas,
) {
  const procedures = Object.entries(schemas).map(([call, schema]) => {
    const serve = service[call as keyof S].bind(service) as (
      input: unknown,
    ) => Promise<unknown>;
    const procedure = peerProcedure
      .input(schema)
      .mutation(({input}) => serve(input));
    return [call, procedure] as const;
  });
  return trpc.router(Object.fromEntries(procedures));
}
