/** Reads and filters raw HTTP headers, in the order received. */
import type {Header} from '../../coordination/forwarding/call.ts';
import type {FindHeader} from './call_codec.ts';

/** Hop-by-hop headers (RFC 9110, section 7.6.1). */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Pairs the names and values of a flat list. */
export function pairHeaders(raw: readonly string[]): Header[] {
  const headers: Header[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    headers.push([raw[index] ?? '', raw[index + 1] ?? '']);
  }
  return headers;
}

/** Drops hop-by-hop headers and those that `Connection` lists. */
export function dropHopByHop(headers: readonly Header[]): Header[] {
  const named = headers
    .filter(([name]) => name.toLowerCase() === 'connection')
    .flatMap(([, value]) => value.toLowerCase().split(','))
    .map(token => token.trim());
  const dropped = new Set([...HOP_BY_HOP, ...named]);
  return headers.filter(([name]) => !dropped.has(name.toLowerCase()));
}

/** Creates a look-up; of duplicate headers, the first is returned. */
export function createFindHeader(headers: readonly Header[]): FindHeader {
  const values = new Map<string, string>();
  for (const [name, value] of headers) {
    const key = name.toLowerCase();
    if (!values.has(key)) values.set(key, value);
  }
  return name => values.get(name.toLowerCase()) ?? null;
}
