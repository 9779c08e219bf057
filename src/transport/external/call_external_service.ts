/** Calls external services with JSON over HTTP. */
import {request} from 'undici';
import type {z} from 'zod';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';

/** Maximum size of a reply, checked if it states its length. */
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
      await response.body.dump();
      return fail(`the service answered with status ${response.statusCode}`);
    }
    const size = Number(response.headers['content-length'] ?? 0);
    if (size > MAX_REPLY_BYTES) {
      response.body.destroy();
      return fail('the reply is too large');
    }
    const parsed = schema.safeParse(await response.body.json());
    if (parsed.success) return succeed(parsed.data);
    return fail(`the reply is malformed: ${parsed.error.issues[0]?.message}`);
  } catch (error) {
    return fail((error as Error).message);
  }
}
