/** Calls external services with JSON over HTTP. */
import {request} from 'undici';
import type {z} from 'zod';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';

/** Maximum size of a reply. */
const MAX_REPLY_BYTES = 64 * 1024;

export interface CallExternalServiceOptions<T> {
  /** IP address and port. */
  readonly address: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Sent as JSON. */
  readonly body?: unknown;
  readonly schema: z.ZodType<T>;
  readonly deadlineMs: number;
}

/** Calls a service; the error says why there is no valid reply. */
export async function callExternalService<T>(
  options: CallExternalServiceOptions<T>,
): Promise<Outcome<T, string>> {
  const {address, method, path, body, schema, deadlineMs} = options;
  try {
    const response = await request(`http://${address}${path}`, {
      method,
      headers: {'content-type': 'application/json'},
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(Math.max(1, Math.ceil(deadlineMs))),
    });
    if (response.statusCode !== 200) {
      response.body.dump({limit: MAX_REPLY_BYTES}).catch(() => {});
      return fail(`the service answered with status ${response.statusCode}`);
    }
    const reply = await readReply(response.body);
    if (reply === null) return fail('the reply is too large');
    const parsed = schema.safeParse(JSON.parse(reply));
    if (parsed.success) return succeed(parsed.data);
    return fail(`the reply is malformed: ${parsed.error.issues[0]?.message}`);
  } catch (error) {
    return fail((error as Error).message);
  }
}

/** Reads a reply; `null` if it is too large. */
async function readReply(
  body: AsyncIterable<Uint8Array> & {destroy(): void},
): Promise<string | null> {
  const pieces: Uint8Array[] = [];
  let size = 0;
  for await (const piece of body) {
    size += piece.length;
    if (size > MAX_REPLY_BYTES) {
      body.destroy();
      return null;
    }
    pieces.push(piece);
  }
  return Buffer.concat(pieces).toString('utf8');
}
