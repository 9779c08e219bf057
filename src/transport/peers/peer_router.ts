/** Serves the calls of other daemons through tRPC over WebSockets. */
import {initTRPC, TRPCError} from '@trpc/server';
import type {z} from 'zod';

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

/** The schema of each call's request, by the name of the call. */
export type CallSchemas = Readonly<Record<string, z.ZodType>>;

/** A service whose calls take one request each. */
export type Callable<S> = {
  [K in keyof S]: (request: never) => Promise<unknown>;
};

/** Creates the router that passes each call on to `service`. */
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
