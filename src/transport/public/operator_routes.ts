/** Routes under `/operator/` for the operators of a daemon. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Polka} from 'polka';
import * as z from 'zod';
import {
  operatorCommandSchema,
  type OperatorCommand,
} from '../../protocol/control.ts';
import type {Declaration} from '../../protocol/declaration.ts';
import type {BillPage} from '../../protocol/ledger.ts';
import type {RequestHistory} from '../../coordination/requests/request_history.ts';
import {equalSecrets} from '../peers/peer_server.ts';
import {readBearer, refuseUnauthorized} from './bearer.ts';
import {sendJson} from './http_errors.ts';
import type {WrapHandler} from './public_server.ts';
import {readJson} from './read_json.ts';

/** The operations that a daemon offers to operators. */
export interface OperatorService {
  /** Commits a command and waits until it is in force everywhere. */
  execute(command: OperatorCommand): Promise<{status: number; body: unknown}>;
  describeStatus(): Promise<unknown>;
  /**
   * Reads the bills of one ledger shard with numbers greater than `after`;
   * `null` if the shard's leader does not answer.
   */
  exportBills(shard: number, after: number): Promise<BillPage | null>;
  /**
   * Deletes exported bills of one shard, up to and including `through`.
   * Returns the number of the last deleted bill, `null` if the ledger does not
   * answer.
   */
  archiveBills(shard: number, through: number): Promise<number | null>;
  /** Returns the declaration in force on this host; `null` before the first. */
  getDeclaration(): Declaration | null;
}

export interface OperatorRoutesOptions {
  /** Holds the history of this gateway's requests. */
  readonly context: {readonly history: Pick<RequestHistory, 'explain'>};
  readonly operatorSecret: string;
  readonly operators: OperatorService;
}

/** Adds the operators' routes to `app`. */
export function addOperatorRoutes(
  app: Polka,
  options: OperatorRoutesOptions,
  wrapHandler: WrapHandler,
): void {
  const {operators} = options;
  const createOperatorRoute: WrapHandler = handler =>
    wrapHandler(async (request, response) => {
      if (equalSecrets(readBearer(request), options.operatorSecret)) {
        await handler(request, response);
      } else {
        refuseUnauthorized(response);
      }
    });
  app
    .post(
      '/operator/commands',
      createOperatorRoute(async (request, response) => {
        const command = await readJson(request, response, {
          schema: operatorCommandSchema,
        });
        if (!command) return;
        const {status, body} = await operators.execute(command);
        sendJson(response, status, body);
      }),
    )
    .get(
      '/operator/status',
      createOperatorRoute(async (_request, response) => {
        sendJson(response, 200, await operators.describeStatus());
      }),
    )
    .get(
      '/operator/requests/:id',
      createOperatorRoute((request, response) => {
        const id = readRequestId(request);
        const record = options.context.history.explain(id);
        if (record) sendJson(response, 200, record);
        else sendJson(response, 404, {error: {message: UNKNOWN_REQUEST}});
      }),
    )
    .get(
      '/operator/bills',
      createOperatorRoute((request, response) =>
        sendBills(request, response, operators),
      ),
    )
    .post(
      '/operator/bills/archive',
      createOperatorRoute((request, response) =>
        archiveBills(request, response, operators),
      ),
    )
    .get(
      '/operator/declaration',
      createOperatorRoute((_request, response) =>
        sendJson(response, 200, {declaration: operators.getDeclaration()}),
      ),
    );
}

/** A gateway's history holds only its own, most recent requests. */
const UNKNOWN_REQUEST =
  'Could not find the request: this gateway did not take it, or forgot it';

function readRequestId(request: IncomingMessage): string {
  const path = (request.url ?? '').split('?', 1)[0] ?? '';
  return decodeURIComponent(path.slice(path.lastIndexOf('/') + 1));
}

const archiveSchema = z.object({
  shard: z.int().nonnegative().default(0),
  through: z.int().nonnegative(),
});

async function archiveBills(
  request: IncomingMessage,
  response: ServerResponse,
  operators: OperatorService,
): Promise<void> {
  const archiveRequest = await readJson(request, response, {
    schema: archiveSchema,
  });
  if (!archiveRequest) return;
  const through = await operators.archiveBills(
    archiveRequest.shard,
    archiveRequest.through,
  );
  if (through === null) refuseLedgerUnavailable(response);
  else sendJson(response, 200, {archivedThrough: through});
}

function refuseLedgerUnavailable(response: ServerResponse): void {
  sendJson(response, 503, {error: {message: 'the ledger did not answer'}});
}

async function sendBills(
  request: IncomingMessage,
  response: ServerResponse,
  operators: OperatorService,
): Promise<void> {
  const query = new URL(request.url ?? '', 'http://daemon').searchParams;
  const shard = Number(query.get('shard') ?? 0);
  const after = Number(query.get('after') ?? 0);
  const page = await operators.exportBills(shard, after);
  if (page) sendJson(response, 200, page);
  else refuseLedgerUnavailable(response);
}
