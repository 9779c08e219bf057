/** Reads a request's JSON body and validates it against a schema. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {z} from 'zod';
import {sendJson} from './http_errors.ts';
import {parseJson} from './parse_json.ts';
import {MEMORY_RETRY_AFTER_S, readBody} from './read_body.ts';

export interface ReadJsonOptions<T> {
  readonly schema: z.ZodType<T>;
  /** Called with the reason for which a body is refused. */
  readonly onRefuse?: (reason: string) => void;
}

/** Returns the parsed body, or `null` after answering with an error. */
export async function readJson<T>(
  request: IncomingMessage,
  response: ServerResponse,
  {schema, onRefuse}: ReadJsonOptions<T>,
): Promise<T | null> {
  const body = await readBody(request);
  if (!body.ok) {
    onRefuse?.(body.error.message);
    // The rest of the body is not read.
    response.setHeader('connection', 'close');
    if (body.error.status === 503) {
      response.setHeader('retry-after', String(MEMORY_RETRY_AFTER_S));
    }
    sendJson(response, body.error.status, {error: body.error});
    return null;
  }
  const value = parseJson(body.value.toString('utf8'));
  if (!value.ok) {
    onRefuse?.(value.error);
    sendJson(response, 400, {error: {message: value.error}});
    return null;
  }
  const parsed = schema.safeParse(value.value);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  const message = `${issue?.path.join('.')}: ${issue?.message}`;
  onRefuse?.(message);
  sendJson(response, 400, {error: {message}});
  return null;
}
