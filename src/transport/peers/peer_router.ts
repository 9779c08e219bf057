/** Routes the calls of other daemons, using tRPC over WebSockets. */
import {initTRPC, TRPCError} from '@trpc/server';
import type {z} from 'zod';
import {parseMessage} from '../../protocol/parse_message.ts';
import type {RefusalLog} from '../../protocol/refusal_log.ts';

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

export interface PeerRouterOptions<S> {
  readonly service: S;
  /** Request schemas by the name of the call. */
  readonly schemas: CallSchemas;
  /** Logs the entries that are dropped from requests; by default nothing. */
  readonly refusals?: RefusalLog;
}

/** Creates the router that validates calls and forwards them to `service`. */
export function createPeerRouter<S extends Callable<S>>({
  service,
  schemas,
  refusals,
}: PeerRouterOptions<S>) {
  const procedures = Object.entries(schemas).map(([call, schema]) => {
    const serve = service[call as keyof S].bind(service) as (
      input: unknown,
    ) => Promise<unknown>;
    const parseInput = (input: unknown) =>
      readMessage(input, {call, schema, refusals});
    const procedure = peerProcedure
      .input(parseInput)
      .mutation(({input}) => serve(input));
    return [call, procedure] as const;
  });
  return trpc.router(Object.fromEntries(procedures));
}

export interface ReadMessageOptions {
  /** The name of the call. */
  readonly call: string;
  readonly schema: z.ZodType;
  readonly refusals: RefusalLog | undefined;
}

/** Validates a request or a reply; throws if it is refused as a whole. */
export function readMessage(
  input: unknown,
  {call, schema, refusals}: ReadMessageOptions,
): unknown {
  const parsed = parseMessage(schema, input);
  if (!parsed.ok) throw new Error(`Could not read ${call}: ${parsed.error}`);
  const {value, droppedCount, dropped} = parsed.value;
  if (droppedCount > 0) refusals?.recordDropped(call, dropped);
  return value;
}
